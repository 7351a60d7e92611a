//! Client of a child process: follows the parents and reports the configuration in force to them.
//!
//! The core decides which parent to follow and whether an update is accepted. This module opens the connections, passes
//! the received lines to the core, and waits for as long as the core says.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use oorandom::Rand64;
use serde::Serialize;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::call::{Call, call};
use super::log::log;
use super::server::LEVEL_HEADER;
use super::watch::{WatchError, WatchRequest, follow_checked};
use crate::document::{Scope, Update};
use crate::parents::{FIRST_LINE_TIMEOUT, PARENT_SILENCE_TIMEOUT, Parents, Step, Verdict, may_serve};
use crate::report::{InForce, REPORT_EVERY};
use crate::state::{Refusal, State, Wanted};

/// Maximum size of a line sent to a balancer: three documents of the origin's maximum size, and 16 KiB for the JSON
/// around them.
pub const MAX_LINE_BYTES: usize = 3 * (256 << 10) + (16 << 10);
/// Maximum random delay of a report after a change, so that a parent does not receive the reports of all children at
/// once.
const REPORT_JITTER: Duration = Duration::from_millis(500);
/// Time limit for sending a report and receiving the response.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Options of a child process that follows its parents.
#[derive(Debug, Clone)]
pub struct Client {
    /// Name under which the parents know the child.
    pub name: String,
    /// Addresses of the parents that the child may follow.
    pub parents: Vec<SocketAddr>,
    /// Scopes whose documents the child uses.
    pub wanted: Vec<Scope>,
    /// Seed of the random numbers for the order of the parents and for jitter.
    pub seed: u64,
}

/// Why a child stops following a parent.
#[derive(Debug, Error)]
pub(crate) enum LeaveError {
    /// A line is neither empty nor a valid JSON update.
    #[error("the parent sent a malformed line: {0}")]
    Json(#[from] serde_json::Error),
    /// The core refused an update.
    #[error("refused an update from the parent: {0}")]
    Refused(#[from] Refusal),
    /// The parent has received nothing from its own parents for too long.
    #[error("the parent has received nothing from its own parents for too long")]
    Stale,
    /// The parent did not give its level, or its level is not below the level of this relay.
    #[error("the parent's level is not below the level of this relay, or is unknown")]
    LevelTooHigh,
}

/// Follows the parents of a balancer or relay, one at a time.
pub(crate) struct ParentFollower<'a> {
    /// Name under which the parents know this process.
    pub name: &'a str,
    /// Addresses of the parents; the core refers to a parent by its index in this list.
    pub addresses: &'a [SocketAddr],
    /// Scopes to watch, separated by commas as in the query, or `*` for all.
    pub scopes: &'a str,
    /// Level of this process if it is a relay; `None` for a balancer.
    pub level: Option<u8>,
    /// Maximum size in bytes of a line of a watch.
    pub max_line_bytes: usize,
    /// Start of the clock of `parents`, which counts time from this instant.
    pub start: Instant,
    /// Core state that chooses the parent to follow.
    pub parents: &'a RefCell<Parents>,
    /// Parent whose watch is open and has sent at least one line; `None` if there is none.
    pub current: &'a Cell<Option<SocketAddr>>,
}

impl ParentFollower<'_> {
    /// Follows the parents without end, one after another. `since` returns the index that this process has reached, and
    /// `accept` is called with each update, or with `None` for a heartbeat. If the future is dropped, the watch is
    /// closed; every update has then been accepted as a whole or not at all.
    pub(crate) async fn run<I, C>(
        &self,
        connect: &impl Fn(SocketAddr) -> C,
        since: impl Fn() -> u64,
        mut accept: impl FnMut(Option<Update>) -> Result<(), Refusal>,
    ) -> Infallible
    where
        C: Future<Output = io::Result<I>>,
        I: AsyncRead + AsyncWrite + Unpin,
    {
        // An error that repeats for the same parent is logged once until the parent has sent lines again, so that an
        // interruption of minutes does not fill the log.
        let mut last_logged: BTreeMap<SocketAddr, String> = BTreeMap::new();
        loop {
            let step = self.parents.borrow_mut().next(self.start.elapsed());
            let address = match step {
                Step::Wait(wait) => {
                    sleep(wait).await;
                    continue;
                }
                Step::Follow(number) => self.addresses[number],
            };
            let ended = self.follow(address, connect, &since, &mut accept).await;
            let had_lines = self.current.take().is_some();
            self.parents.borrow_mut().on_watch_ended(self.start.elapsed());
            if had_lines || last_logged.get(&address) != Some(&ended) {
                log(format_args!(
                    "{} lost the watch of parent {address}, keeps its documents and tries its parents again: {ended}",
                    self.name
                ));
                last_logged.insert(address, ended);
            }
        }
    }

    /// Follows one parent until its watch ends, and returns the reason as text for the log.
    async fn follow<I, C>(
        &self,
        address: SocketAddr,
        connect: &impl Fn(SocketAddr) -> C,
        since: &impl Fn() -> u64,
        accept: &mut impl FnMut(Option<Update>) -> Result<(), Refusal>,
    ) -> String
    where
        C: Future<Output = io::Result<I>>,
        I: AsyncRead + AsyncWrite + Unpin,
    {
        let first_line_deadline = Instant::now() + FIRST_LINE_TIMEOUT;
        let stream = match timeout_at(first_line_deadline, connect(address)).await {
            Err(_) => return "the connection was not open before the deadline".to_owned(),
            Ok(Err(error)) => return format!("the connection could not be opened: {error}"),
            Ok(Ok(stream)) => stream,
        };
        let (since, scopes, name) = (since(), self.scopes, sanitize_query_name(self.name));
        let request = WatchRequest {
            host: address.to_string(),
            path: format!("/configuration?follow=1&since={since}&scopes={scopes}&name={name}"),
            first_line_deadline,
            silence_timeout: PARENT_SILENCE_TIMEOUT,
            max_line_bytes: self.max_line_bytes,
        };
        let Err(error) = self.watch(stream, request, address, accept).await;
        error.to_string()
    }

    /// Follows a watch on an open connection: checks the parent's level, then passes each line to `accept` and to the
    /// core. Always returns an error, which says why the watch ended.
    async fn watch<I>(
        &self,
        stream: I,
        request: WatchRequest,
        address: SocketAddr,
        accept: &mut impl FnMut(Option<Update>) -> Result<(), Refusal>,
    ) -> Result<Infallible, WatchError<LeaveError>>
    where
        I: AsyncRead + AsyncWrite + Unpin,
    {
        let head = |headers: &HeaderMap| {
            let Some(own) = self.level else { return Ok(()) };
            let level = headers.get(LEVEL_HEADER).and_then(|level| level.to_str().ok()?.parse().ok());
            let fits = level.is_some_and(|level| may_serve(level, Some(own)));
            if fits { Ok(()) } else { Err(LeaveError::LevelTooHigh) }
        };
        let line = |text: &[u8]| {
            let mut stale_s = 0;
            if text.is_empty() {
                accept(None)?;
            } else {
                let update: Update = serde_json::from_slice(text)?;
                stale_s = update.stale_s;
                accept(Some(update))?;
            }
            self.current.set(Some(address));
            let verdict = self.parents.borrow_mut().on_line(self.start.elapsed(), stale_s);
            if verdict == Verdict::Leave { Err(LeaveError::Stale) } else { Ok(()) }
        };
        follow_checked(stream, request, head, line).await
    }
}

/// Replaces the characters of a name that cannot stand in a query by `_`.
fn sanitize_query_name(name: &str) -> String {
    let fits = |letter: char| letter.is_ascii_alphanumeric() || matches!(letter, '-' | '_' | '.' | ':' | '/');
    name.chars().map(|letter| if fits(letter) { letter } else { '_' }).collect()
}

/// Posts a report to a parent, of the configuration in force in this process or below it. Returns whether the parent
/// accepted the report.
pub(crate) async fn report<I, C>(
    connect: &impl Fn(SocketAddr) -> C,
    address: SocketAddr,
    content: &impl Serialize,
) -> bool
where
    C: Future<Output = io::Result<I>>,
    I: AsyncRead + AsyncWrite + Unpin,
{
    let Ok(text) = serde_json::to_vec(content) else { return false };
    let answered = async {
        let request = Call {
            method: Method::POST,
            host: address.to_string(),
            path: "/configuration/report",
            headers: &[],
            body: Bytes::from(text),
        };
        call(connect(address).await.ok()?, request).await.ok()
    };
    matches!(timeout(REPORT_TIMEOUT, answered).await, Ok(Some((status, _))) if status.is_success())
}

/// Follows the parents without end, one after another. `connect` opens a connection. `apply` is called with the state
/// after each accepted update and the scopes that changed, and returns what is now in force, which is reported to the
/// parent. If the future is dropped, the watch is closed; updates that were applied stay in force.
pub async fn run<I, C, F>(client: Client, connect: impl Fn(SocketAddr) -> C, mut apply: F) -> Infallible
where
    C: Future<Output = io::Result<I>>,
    I: AsyncRead + AsyncWrite + Unpin,
    F: FnMut(&State, &[Scope]) -> InForce,
{
    let Client { name, parents, wanted, seed } = client;
    let scopes = wanted.iter().map(Scope::to_string).collect::<Vec<_>>().join(",");
    let wanted = Wanted::These(wanted);
    let state = RefCell::new(State::default());
    let in_force = RefCell::new(None);
    let (changed, current) = (Notify::new(), Cell::new(None));
    let following = ParentFollower {
        name: &name,
        addresses: &parents,
        scopes: &scopes,
        level: None,
        max_line_bytes: MAX_LINE_BYTES,
        start: Instant::now(),
        parents: &RefCell::new(Parents::new(parents.len(), seed)),
        current: &current,
    };
    let followed = following.run(
        &connect,
        || state.borrow().index(),
        |update| {
            let Some(update) = update else { return Ok(()) };
            let scopes = state.borrow_mut().apply(update, &wanted)?;
            if !scopes.is_empty() || in_force.borrow().is_none() {
                *in_force.borrow_mut() = Some(apply(&state.borrow(), &scopes));
                changed.notify_one();
            }
            Ok(())
        },
    );
    let reported = report_in_force(&connect, &in_force, &changed, &current, Rand64::new(u128::from(!seed)));
    tokio::select! {
        never = followed => never,
        never = reported => never,
    }
}

/// Reports what is in force to the parent whose watch is open: after each change with a random delay, and at intervals.
/// If no watch is open then, the report is skipped, and the next one is due after the next change or interval.
async fn report_in_force<I, C>(
    connect: &impl Fn(SocketAddr) -> C,
    in_force: &RefCell<Option<InForce>>,
    changed: &Notify,
    current: &Cell<Option<SocketAddr>>,
    mut rng: Rand64,
) -> Infallible
where
    C: Future<Output = io::Result<I>>,
    I: AsyncRead + AsyncWrite + Unpin,
{
    loop {
        // Between 90% and 100% of `REPORT_EVERY` at random. Like `REPORT_JITTER`, this spreads the children's reports.
        let every = REPORT_EVERY.mul_f64(0.9 + 0.1 * rng.rand_float());
        if timeout(every, changed.notified()).await.is_ok() {
            sleep(REPORT_JITTER.mul_f64(rng.rand_float())).await;
        }
        let Some(content) = in_force.borrow().clone() else { continue };
        let Some(address) = current.get() else { continue };
        // A failed report is not retried: the next report replaces it, at the latest after `REPORT_EVERY`.
        report(connect, address, &content).await;
    }
}
