//! Helpers for the tests that run the capacity tool and real balancer processes.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::OnceLock;

use capacity::plan::Plan;

/// The plan file of the repository.
pub fn plan() -> Plan {
    Plan::read(&root().join("crates/capacity/plan.toml")).expect("the plan is valid")
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Path of the balancer's program, which is built if it does not exist yet.
pub fn balancer_program() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| program("balancer-proxy", "balancer-proxy")).clone()
}

/// Path of the configuration distribution's program, in the folder of the balancer's program. It is built if it does
/// not exist yet.
pub fn distribution_program() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| program("config-distribution", "config-distribution")).clone()
}

/// Path of the program `name` of another package. Cargo passes a test the paths of only its own package's programs, and
/// builds other programs only if the tests of their packages run too. So the program is searched for in the folder of
/// the capacity tool, and built if it is missing there.
fn program(package: &str, name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_BIN_EXE_capacity")).parent().expect("the program is in a folder");
    let program = folder.join(name);
    if !program.is_file() {
        let release = folder.file_name().is_some_and(|name| name == "release");
        let done = Command::new(env!("CARGO"))
            .args(["build", "--locked", "--package", package, "--bin", name])
            // Use the profile of the running tests, so that artifacts that already exist are not built again.
            .args(["--profile", if release { "release" } else { "test" }])
            .arg("--target-dir")
            .arg(folder.parent().expect("the folder is in a target folder"))
            .current_dir(root())
            .output()
            .expect("cargo starts");
        assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    }
    program
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_capacity"))
        .args(arguments)
        .current_dir(root())
        .output()
        .expect("the capacity tool starts")
}

/// Runs the capacity tool, which must succeed, and returns its standard output.
pub fn run_capacity(arguments: &[&str]) -> String {
    let done = run(arguments);
    assert!(done.status.success(), "{arguments:?}: {}", String::from_utf8_lossy(&done.stderr));
    String::from_utf8(done.stdout).expect("the output is UTF-8")
}

/// Runs the capacity tool, which must fail and print `part` on standard error.
pub fn assert_fails_with(arguments: &[&str], part: &str) {
    let done = run(arguments);
    let message = String::from_utf8_lossy(&done.stderr);
    assert!(!done.status.success() && message.contains(part), "{arguments:?}: {message}");
}

/// A temporary folder of one test, which is removed on drop.
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates a folder whose path contains the process id and `name`.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("capacity-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("the folder is created");
        Self(path)
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
