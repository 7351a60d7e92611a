//! Plays one case of the review: `play CASE DIRECTORY`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. `TROUBLE=0` leaves out the disruption.

mod memory;
mod parts;
mod pipeline;
mod settings;
mod shutdown;

use std::path::PathBuf;
use std::process::exit;
use std::thread::{sleep, spawn};
use std::time::Duration;

use parts::Record;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// What each case is given.
pub struct Stage {
    pub record: Record,
    pub root: PathBuf,
    pub trouble: bool,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(directory)) = (arguments.next(), arguments.next()) else { exit(2) };
    let root = std::env::current_dir().unwrap_or_else(|_| exit(2));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let stage = Stage { record: Record::create(&PathBuf::from(directory)), root, trouble };
    let record = stage.record.clone();
    record.line(format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    let played = spawn(move || match case.as_str() {
        "shutdown" => shutdown::play(&stage),
        "memory" => memory::play(&stage),
        "pipeline" => pipeline::play(&stage),
        _ => Verdict::NotRun,
    });
    // The guard of the balancer in the case's thread ends the process, also where the case panics.
    for _ in 0..1100 {
        if played.is_finished() {
            break;
        }
        sleep(Duration::from_millis(100));
    }
    let verdict =
        if played.is_finished() { played.join().unwrap_or(Verdict::NotRun) } else { Verdict::NotRun };
    parts::kill_rest();
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::NotRun => (2, "the case could not run"),
    };
    record.line(text);
    exit(code);
}
