//! The balancer program as a separate process: starting it, sending it signals and reading its log.

use std::ffi::OsStr;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};

use super::wait_for;

/// Starts the program with this configuration and a limit of 1024 open files.
pub fn start_program(configuration: &str) -> Child {
    program_with_descriptor_limit(1024, configuration)
}

/// Writes the configuration file of the test that runs on the current thread, and returns its path.
pub fn write_configuration(configuration: &str) -> PathBuf {
    let mut file = std::env::temp_dir();
    file.push(format!("balancer-proxy-{}-{:?}.json", std::process::id(), std::thread::current().id()));
    std::fs::File::create(&file)
        .and_then(|mut file| file.write_all(configuration.as_bytes()))
        .expect("the configuration file is written");
    file
}

pub fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill").args([name, &child.id().to_string()]).status().expect("kill is started");
    assert!(sent.success(), "sending {name} failed: {sent}");
}

/// Starts the program with this configuration and a limit of `descriptors` open files, so that they really run out.
pub fn program_with_descriptor_limit(descriptors: usize, configuration: &str) -> Child {
    program_with_file(descriptors, &write_configuration(configuration))
}

/// Starts the program with an existing configuration file and a limit of `descriptors` open files.
pub fn program_with_file(descriptors: usize, file: &Path) -> Child {
    program_with_environment(descriptors, file, &[])
}

/// Starts the program like [`program_with_file`], with further environment variables.
pub fn program_with_environment(descriptors: usize, file: &Path, variables: &[(&str, &OsStr)]) -> Child {
    Command::new("/bin/sh")
        .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\""), env!("CARGO_BIN_EXE_balancer-proxy")])
        .env_clear()
        .env("PROXY_CONFIG", file)
        .envs(variables.iter().copied())
        // A failed test leaves the program running, which must not keep the test's own output open.
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the process starts")
}

/// Reads from the first log line the address that the program listens on, and returns it with the reader of the log.
pub fn address(child: &mut Child) -> (SocketAddr, BufReader<ChildStderr>) {
    let mut log = BufReader::new(child.stderr.take().expect("the stream is piped"));
    let mut line = String::new();
    log.read_line(&mut line).expect("the log is readable");
    let address = line.trim().rsplit(' ').next().and_then(|text| text.parse().ok()).expect("an address");
    (address, log)
}

/// Waits for a log line that contains `part`.
pub fn wait_line(log: &mut BufReader<ChildStderr>, part: &str) {
    let mut line = String::new();
    wait_for(part, || {
        line.clear();
        log.read_line(&mut line).expect("the log is readable");
        line.contains(part).then_some(())
    });
}

/// Clock ticks per second in `/proc/PID/stat` on Linux.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Resource usage of the program, by process id, as read from `/proc`.
pub struct ProcessUsage(pub u32);

impl ProcessUsage {
    fn read(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.0)).expect("the program is running")
    }

    /// Total user and system time of all threads.
    pub fn cpu_seconds(&self) -> f64 {
        let stat = self.read("stat");
        // The name of the program, the field before these, may contain spaces.
        let (_, fields) = stat.rsplit_once(") ").expect("stat has a process name");
        let fields: Vec<&str> = fields.split(' ').collect();
        let ticks = |place: usize| fields[place].parse::<f64>().expect("a number");
        (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_S
    }

    /// Largest resident memory so far.
    pub fn peak_memory_mb(&self) -> f64 {
        let status = self.read("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak is reported");
        line.trim().trim_end_matches(" kB").parse::<f64>().expect("a number") / 1024.0
    }

    /// Number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.0)).expect("the program is running").count()
    }
}
