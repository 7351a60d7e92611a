//! The cases.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::discovery::{Discovery, Entry, list};
use crate::http::{Client, Request};
use crate::load::{Answers, Load};
use crate::process::{
    Config, Folder, Process, free_address, run_distribution, start_balancer, start_distribution, wait_ready,
    wait_until,
};
use crate::record::Record;
use crate::site::{SEED_BANK, Settings, Site, TIDE_DESK};
use crate::upstream::{Done, Upstream, Work};
use crate::{Failure, Verdict};

const SECOND: Duration = Duration::from_secs(1);
const SEED: &str = "8c1f30d27a5be964";

pub fn play(name: &str, trouble: bool) -> Result<Verdict, Failure> {
    let record = Record::open()?;
    record.say(format_args!("case {name}, {}", if trouble { "with the disruption" } else { "without it" }));
    let verdict = match name {
        "restart-beside-silent-parent" => restart_beside_silent_parent(&record, trouble),
        "second-answer" => second_answer(&record, trouble),
        "request-id-after-disk-loss" => request_id_after_disk_loss(&record, trouble),
        "list-behind" => list_behind(&record, trouble),
        "ask-within" => ask_within(&record, trouble),
        _ => Err(format!("no such case: {name:?}").into()),
    }?;
    record.say(format_args!(
        "{}",
        match verdict {
            Verdict::Held => "the rule held",
            Verdict::Broken => "the rule was broken",
        }
    ));
    Ok(verdict)
}

fn pass_if(held: bool) -> Verdict {
    if held { Verdict::Held } else { Verdict::Broken }
}

fn entry(site: &Site, name: &'static str, upstream: &Upstream, group: u32, status: &'static str) -> Entry {
    Entry { name, address: upstream.address, zone: site.zone, group, status, weight: 1.0, since_ms: 0 }
}

/// Works for `time` on each request and answers with `status`.
fn work(time: Duration, status: u16) -> Work {
    Arc::new(move || {
        thread::sleep(time);
        Done { status, again_after: None }
    })
}

/// Copies a log into the record.
fn copy_log(record: &Record, name: &str, process: &Process) {
    for line in process.text().lines() {
        record.line(format_args!("log of {name}: {line}"));
    }
}

/// Writes that requests reached an upstream after a time on the record's clock, and returns how many.
fn count_after(record: &Record, name: &str, upstream: &Upstream, limit: f64, since: &str) -> usize {
    let late: Vec<f64> =
        upstream.arrivals().iter().map(|arrival| arrival.at).filter(|&at| at > limit).collect();
    let first = late.first().map_or_else(String::new, |at| format!(", the first at {at:.2}"));
    record.say(format_args!("{} requests reached {name} after {limit:.2}, {since}{first}", late.len()));
    late.len()
}

// --- The configuration service ---

fn words(text: &str) -> Vec<String> {
    text.split(' ').map(str::to_owned).collect()
}

/// Balancers start again while one of their three parents is silent. A published document confines the repeats of
/// `berth-hold` to a cell; the balancers' own files are from before that.
fn restart_beside_silent_parent(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    const BALANCERS: usize = 10;
    const REQUESTS: usize = 8;
    let folder = Folder::new()?;
    // Each upstream is a cell of its own. The first one fails what it has run.
    let failing = Upstream::start("s-1", record, work(Duration::from_millis(10), 500))?;
    let sound = Upstream::start("s-2", record, work(Duration::from_millis(10), 200))?;
    let entries =
        [entry(&TIDE_DESK, "s-1", &failing, 1, "ready"), entry(&TIDE_DESK, "s-2", &sound, 2, "ready")];
    let discovery = Discovery::start("discovery", record, 41, &entries, Duration::ZERO)?;
    let known = list(41, true, &entries);

    let start = |text: String, log: &str| start_distribution(&words(&text), folder.path(log));
    let dir = folder.path("origin");
    let (_origin, origin_at) =
        start(format!("origin --listen 127.0.0.1:0 --dir {}", dir.display()), "origin.log")?;
    let relay = |name: &str, level: u8, parent: SocketAddr| {
        start(
            format!("relay --listen 127.0.0.1:0 --level {level} --parent {parent} --name {name}"),
            &format!("{name}.log"),
        )
    };
    let (_region, region_at) = relay("region", 1, origin_at)?;
    let (first, first_at) = relay("zone-1", 2, region_at)?;
    let (_second, second_at) = relay("zone-2", 2, region_at)?;
    let parents = [first_at, second_at, region_at];

    let document = folder.path("desk.json");
    let in_cells = Settings { dedup_scope: "cell", ..Settings::of(&TIDE_DESK) };
    fs::write(&document, format!("{{\"settings\":{{\"lanes\":[{}]}}}}", in_cells.lanes()))?;
    let (to, path) = (origin_at.to_string(), document.display().to_string());
    let (status, _) = run_distribution(record, &["publish", "--to", &to, "service/desk", &path])?;
    if status != Some(0) {
        return Err("the document was not published".into());
    }

    let names: Vec<String> = (0..BALANCERS).map(|number| format!("n{number}")).collect();
    let addresses = (0..BALANCERS).map(|_| free_address()).collect::<Result<Vec<_>, _>>()?;
    let settings = Settings::of(&TIDE_DESK).json();
    let start_one = |number: usize, life: u32| {
        // A seed that is new with each start.
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().subsec_nanos();
        let config = Config {
            name: &names[number],
            listen: addresses[number],
            discovery: discovery.address,
            seed: &format!("{nanos:08x}{number:02x}{life:02x}"),
            known: &known,
            settings: &settings,
            parents: &parents,
        };
        start_balancer(
            &config,
            &folder.path(&format!("{}.json", names[number])),
            folder.path(&format!("{}-{life}.log", names[number])),
        )
    };
    let start_all =
        |life: u32| (0..BALANCERS).map(|number| start_one(number, life)).collect::<Result<Vec<_>, _>>();
    let mut balancers = start_all(1)?;
    for number in 0..BALANCERS {
        wait_ready(record, &names[number], addresses[number])?;
    }
    let in_force = "in force over the file's own settings: service/desk 1";
    wait_until("the document is in force in every balancer", || {
        balancers.iter().all(|balancer| balancer.text().contains(in_force))
    })?;
    record.say(format_args!("the document is in force in all {BALANCERS} balancers"));

    if trouble {
        record.say(format_args!("the relay zone-1 falls silent"));
        first.signal("STOP")?;
    }
    // Its readers find it silent within 3.2 s and follow another parent.
    thread::sleep(6 * SECOND);
    record.say(format_args!("the balancers are killed and start again"));
    balancers.iter_mut().for_each(Process::kill);
    let mut balancers = start_all(2)?;
    let clients: Vec<_> = (0..BALANCERS)
        .map(|number| {
            let (record, name, address) = (record.clone(), names[number].clone(), addresses[number]);
            thread::spawn(move || hold_berths(&record, &name, address, REQUESTS))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")??;
    }
    thread::sleep(3 * SECOND);
    if trouble {
        first.signal("CONT")?;
    }
    let followed = balancers.iter().filter(|balancer| balancer.text().contains(in_force)).count();
    record.say(format_args!("the document is in force again in {followed} of {BALANCERS} balancers"));
    balancers.iter_mut().for_each(Process::kill);
    for (name, balancer) in names.iter().zip(&balancers) {
        copy_log(record, name, balancer);
    }
    let mut ran: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for arrival in failing.arrivals().iter().chain(&sound.arrivals()) {
        ran.entry(arrival.id.clone()).or_default().push(arrival.upstream);
    }
    let twice: Vec<_> =
        ran.iter().filter(|(_, at)| at.contains(&"s-1") && at.contains(&"s-2")).map(|(id, _)| id).collect();
    record.say(format_args!("{} requests ran, {} of them in two cells: {twice:?}", ran.len(), twice.len()));
    Ok(pass_if(twice.is_empty()))
}

/// Sends requests with idempotency keys to a balancer from when it is ready.
fn hold_berths(record: &Record, name: &str, address: SocketAddr, count: usize) -> Result<(), Failure> {
    wait_ready(record, name, address)?;
    let mut client = Client::new(address);
    for number in 0..count {
        let id = format!("{name}-{number}");
        let key = format!("key-{id}");
        let request = Request {
            method: "POST",
            class: "berth-hold",
            tenant: TIDE_DESK.tenant,
            id: &id,
            deadline_s: 0.4,
            key: Some(&key),
            body: "berth 7",
        };
        record.line(format_args!("client sends {id}"));
        let answer = client.ask(&request.text(), SECOND);
        record.line(format_args!("client {id}: {:?}", answer.map(|(status, _)| status)));
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// The origin's disk is lost, and the origin starts on a copy of a relay's directory. Then a publisher says a
/// publication again that was acknowledged before.
fn request_id_after_disk_loss(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let folder = Folder::new()?;
    let (own, relay_dir) = (folder.path("origin"), folder.path("relay"));
    let listen = free_address()?;
    let origin_on = |dir: &Path, log: &str| {
        start_distribution(
            &words(&format!("origin --listen {listen} --dir {}", dir.display())),
            folder.path(log),
        )
    };
    let (mut origin, _) = origin_on(&own, "origin-1.log")?;
    let (mut relay, _) = start_distribution(
        &words(&format!(
            "relay --listen 127.0.0.1:0 --level 1 --parent {listen} --name region --dir {}",
            relay_dir.display()
        )),
        folder.path("relay.log"),
    )?;
    let write = |name: &str, share: &str| -> Result<String, Failure> {
        let path = folder.path(name);
        fs::write(&path, format!("{{\"settings\":{{\"overShareWorth\":{share}}}}}"))?;
        Ok(path.display().to_string())
    };
    let (one, two) = (write("one.json", "0.1")?, write("two.json", "0.2")?);
    let to = listen.to_string();
    let publish = |path: &str, request: &str| {
        run_distribution(record, &["publish", "--to", &to, "service/desk", path, "--request", request])
    };
    let (status, index) = publish(&one, "release-1")?;
    if status != Some(0) {
        return Err("the first publication was not accepted".into());
    }
    wait_until("the relay has stored it", || {
        relay.text().contains(&format!("stored index {index} on disk"))
    })?;
    record.say(format_args!("the origin is killed"));
    origin.kill();
    relay.kill();
    let started_on = if trouble {
        record.say(format_args!("its disk is lost; it starts on a copy of the relay's directory"));
        fs::remove_dir_all(&own)?;
        let copy = folder.path("copy");
        fs::create_dir(&copy)?;
        for file in fs::read_dir(&relay_dir)? {
            let file = file?;
            fs::copy(file.path(), copy.join(file.file_name()))?;
        }
        copy
    } else {
        record.say(format_args!("it starts on its own disk"));
        own
    };
    let (_origin, _) = origin_on(&started_on, "origin-2.log")?;
    let (status, newer) = publish(&two, "release-2")?;
    if status != Some(0) {
        return Err("the second publication was not accepted".into());
    }
    let (_, again) = publish(&one, "release-1")?;
    let (_, stands) = run_distribution(record, &["get", "--to", &to, "service/desk"])?;
    let undone = !stands.contains("\"overShareWorth\":0.2");
    record.say(format_args!(
        "release-1 was answered {index}, and {again:?} when said again; release-2 was answered {newer} and {}",
        if undone { "no longer stands" } else { "stands" }
    ));
    Ok(pass_if(again == index && !undone))
}

// --- Answers ---

/// One in ten answers is followed by a second one some milliseconds later.
fn second_answer(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    const LATE: Duration = Duration::from_millis(12);
    let folder = Folder::new()?;
    let count = Arc::new(AtomicUsize::new(0));
    let work: Work = Arc::new(move || {
        thread::sleep(Duration::from_millis(30));
        let number = count.fetch_add(1, Ordering::SeqCst);
        Done { status: 200, again_after: (trouble && number % 10 == 9).then_some(LATE) }
    });
    let upstreams = [
        Upstream::start("s-1", record, Arc::clone(&work))?,
        Upstream::start("s-2", record, Arc::clone(&work))?,
    ];
    let ready = [
        entry(&TIDE_DESK, "s-1", &upstreams[0], 1, "ready"),
        entry(&TIDE_DESK, "s-2", &upstreams[1], 1, "ready"),
    ];
    let discovery = Discovery::start("discovery", record, 41, &ready, Duration::ZERO)?;
    let listen = free_address()?;
    let config = Config {
        name: "n0",
        listen,
        discovery: discovery.address,
        seed: SEED,
        known: &list(41, true, &ready),
        settings: &Settings::of(&TIDE_DESK).json(),
        parents: &[],
    };
    let balancer = start_balancer(&config, &folder.path("config.json"), folder.path("n0.log"))?;
    wait_ready(record, "n0", listen)?;
    let load = Load::start(record, &TIDE_DESK, listen, 8, Duration::from_millis(50));
    thread::sleep(30 * SECOND);
    let Answers { served, foreign } = load.end();
    copy_log(record, "n0", &balancer);
    record.say(format_args!(
        "{served} requests were served, {} of them with the answer to another: {foreign:?}",
        foreign.len()
    ));
    Ok(pass_if(foreign.is_empty()))
}

// --- The list of upstreams ---

/// SIGHUP moves discovery to an address that is behind for the first 3 s. The old one has told that `s-1` is gone and
/// that `s-3` drains.
fn list_behind(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let folder = Folder::new()?;
    let time = Duration::from_millis(20);
    let upstreams = [
        Upstream::start("s-1", record, work(time, 200))?,
        Upstream::start("s-2", record, work(time, 200))?,
        Upstream::start("s-3", record, work(time, 200))?,
    ];
    let is = |number: usize, status| {
        entry(&TIDE_DESK, ["s-1", "s-2", "s-3"][number], &upstreams[number], 1, status)
    };
    let all = [is(0, "ready"), is(1, "ready"), is(2, "ready")];
    let old = Discovery::start("old", record, 41, &all, Duration::ZERO)?;
    let (listen, known) = (free_address()?, list(41, true, &all));
    let settings = Settings::of(&TIDE_DESK).json();
    let config = |discovery: &Discovery| Config {
        name: "n0",
        listen,
        discovery: discovery.address,
        seed: SEED,
        known: &known,
        settings: &settings,
        parents: &[],
    };
    let path = folder.path("config.json");
    let balancer = start_balancer(&config(&old), &path, folder.path("n0.log"))?;
    wait_ready(record, "n0", listen)?;
    let load = Load::start(record, &TIDE_DESK, listen, 4, Duration::from_millis(60));
    thread::sleep(2 * SECOND);
    let lighter = Entry { weight: 0.9, ..is(2, "ready") };
    old.change(42, std::slice::from_ref(&lighter));
    thread::sleep(SECOND);
    let told = record.now();
    record.say(format_args!("s-1 is gone, s-3 drains"));
    let last = [is(0, "gone"), is(2, "draining")];
    old.change(43, &last);
    thread::sleep(2 * SECOND);

    let new = Discovery::start("new", record, 41, &all, Duration::ZERO)?;
    if !trouble {
        new.change(42, std::slice::from_ref(&lighter));
        new.change(43, &last);
    }
    config(&new).write(&path)?;
    old.retire();
    record.say(format_args!("SIGHUP: discovery has moved"));
    balancer.signal("HUP")?;
    thread::sleep(Duration::from_millis(1500));
    if trouble {
        record.say(format_args!("the new address has version 42"));
        new.change(42, std::slice::from_ref(&lighter));
    }
    thread::sleep(Duration::from_millis(1500));
    if trouble {
        record.say(format_args!("the new address has version 43"));
        new.change(43, &last);
    }
    thread::sleep(2 * SECOND);
    drop(load);
    copy_log(record, "n0", &balancer);
    let limit = told + TIDE_DESK.drain_grace_s();
    let since = "when the grace was over";
    let gone = count_after(record, "s-1 (gone)", &upstreams[0], limit, since);
    let draining = count_after(record, "s-3 (draining)", &upstreams[2], limit, since);
    Ok(pass_if(gone == 0 && draining == 0))
}

/// Discovery is asked, within 2 s; it takes 1.2 s to answer a call. An upstream drains.
fn ask_within(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let folder = Folder::new()?;
    let time = Duration::from_millis(20);
    let upstreams =
        [Upstream::start("s-1", record, work(time, 200))?, Upstream::start("s-2", record, work(time, 200))?];
    let is = |number: usize, status| entry(&SEED_BANK, ["s-1", "s-2"][number], &upstreams[number], 1, status);
    let ready = [is(0, "ready"), is(1, "ready")];
    let slow = if trouble { Duration::from_millis(1200) } else { Duration::ZERO };
    let discovery = Discovery::start("discovery", record, 41, &ready, slow)?;
    let listen = free_address()?;
    let config = Config {
        name: "n0",
        listen,
        discovery: discovery.address,
        seed: SEED,
        known: &list(41, true, &ready),
        settings: &Settings { ask_within_s: 2.0, ..Settings::of(&SEED_BANK) }.json(),
        parents: &[],
    };
    let balancer = start_balancer(&config, &folder.path("config.json"), folder.path("n0.log"))?;
    wait_ready(record, "n0", listen)?;
    let load = Load::start(record, &SEED_BANK, listen, 4, Duration::from_millis(60));
    thread::sleep(5 * SECOND);
    let known = record.now();
    record.say(format_args!("s-1 drains"));
    discovery.change(42, &[is(0, "draining")]);
    thread::sleep(20 * SECOND);
    drop(load);
    copy_log(record, "n0", &balancer);
    let limit = known + 6.0 + SEED_BANK.drain_grace_s();
    let late = count_after(
        record,
        "s-1 (draining)",
        &upstreams[0],
        limit,
        "6 s and the grace after discovery had its drain",
    );
    Ok(pass_if(late == 0))
}
