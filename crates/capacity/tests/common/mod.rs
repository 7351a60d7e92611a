//! What the tests of real processes share.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::OnceLock;

use capacity::plan::Plan;

/// The plan of the repository.
pub fn plan() -> Plan {
    Plan::read(&root().join("crates/capacity/plan.toml")).expect("a sound plan")
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The balancer's program.
pub fn balancer_program() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| program("balancer-proxy", "balancer-proxy")).clone()
}

/// The distribution's program, beside the balancer's.
pub fn distribution_program() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| program("config-distribution", "config-distribution")).clone()
}

/// A program of another package: cargo names a test only the programs of its own package, and builds the others only
/// where their own tests are run too. So it is looked for beside this test's programs and built if it isn't there.
fn program(package: &str, name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_BIN_EXE_capacity")).parent().expect("in a folder");
    let program = folder.join(name);
    if !program.is_file() {
        let release = folder.file_name().is_some_and(|name| name == "release");
        let done = Command::new(env!("CARGO"))
            .args(["build", "--locked", "--package", package, "--bin", name])
            // The profile of tests, so that nothing is built anew that stands already.
            .args(["--profile", if release { "release" } else { "test" }])
            .arg("--target-dir")
            .arg(folder.parent().expect("in a target folder"))
            .current_dir(root())
            .output()
            .expect("cargo runs");
        assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    }
    program
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_capacity"))
        .args(arguments)
        .current_dir(root())
        .output()
        .expect("the program runs")
}

/// Runs the rig, and gives what it prints.
pub fn scale(arguments: &[&str]) -> String {
    let done = run(arguments);
    assert!(done.status.success(), "{arguments:?}: {}", String::from_utf8_lossy(&done.stderr));
    String::from_utf8(done.stdout).expect("text")
}

/// Runs the rig, which must fail with this in its words.
pub fn fails_with(arguments: &[&str], part: &str) {
    let done = run(arguments);
    let words = String::from_utf8_lossy(&done.stderr);
    assert!(!done.status.success() && words.contains(part), "{arguments:?}: {words}");
}

/// A folder of one test.
pub struct Folder(PathBuf);

impl Folder {
    /// Makes it.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("capacity-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("made");
        Self(path)
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
