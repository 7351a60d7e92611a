//! The program as a process of its own: its start, its signals and its log.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};

use super::wait_for;

pub fn program(configuration: &str) -> Child {
    program_within(1024, configuration)
}

/// Writes the configuration file of the test that runs on this thread.
pub fn write_configuration(configuration: &str) -> PathBuf {
    let mut file = std::env::temp_dir();
    file.push(format!("balancer-proxy-{}-{:?}.json", std::process::id(), std::thread::current().id()));
    std::fs::File::create(&file)
        .and_then(|mut file| file.write_all(configuration.as_bytes()))
        .expect("written");
    file
}

pub fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill").args([name, &child.id().to_string()]).status().expect("sent");
    assert!(sent.success());
}

/// Starts the program where descriptors really run out.
pub fn program_within(descriptors: usize, configuration: &str) -> Child {
    program_on(descriptors, &write_configuration(configuration))
}

/// The same on a file that is there.
pub fn program_on(descriptors: usize, file: &Path) -> Child {
    Command::new("/bin/sh")
        .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\""), env!("CARGO_BIN_EXE_balancer-proxy")])
        .env_clear()
        .env("PROXY_CONFIG", file)
        // A failed test leaves it behind, which must not keep the test's own output open.
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts")
}

/// Where the program says that it listens; its log stays open with the reader.
pub fn address(child: &mut Child) -> (SocketAddr, BufReader<ChildStderr>) {
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    let address = line.trim().rsplit(' ').next().and_then(|text| text.parse().ok()).expect("an address");
    (address, log)
}

/// Waits for a line of the log that holds `part`.
pub fn wait_line(log: &mut BufReader<ChildStderr>, part: &str) {
    let mut line = String::new();
    wait_for(part, || {
        line.clear();
        log.read_line(&mut line).expect("a line");
        line.contains(part).then_some(())
    });
}
