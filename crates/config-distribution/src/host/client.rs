//! The child's side: follows its parents and reports up.
//!
//! The core decides which parent to follow and whether an update is accepted; this module opens the connections, feeds lines
//! to the core and waits as it says.

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
use super::server::LEVEL;
use super::watch::{WatchError, WatchRequest, follow_checked};
use crate::document::{Scope, Update};
use crate::parents::{FIRST_LINE, PARENT_SILENCE_TIMEOUT, Parents, Step, Verdict, may_serve};
use crate::report::{InForce, REPORT_EVERY};
use crate::state::{Refusal, State, Wanted};

/// Bytes of a line to a balancer at most: three documents at the origin's bound, and what is around them.
pub const MAX_LINE_BYTES: usize = 3 * (256 << 10) + (16 << 10);
/// Reports after a change wait up to this, so that a parent does not get all at one moment.
const REPORT_JITTER: Duration = Duration::from_millis(500);
/// A report has so long to be answered.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// A child that follows its parents.
#[derive(Debug, Clone)]
pub struct Client {
    /// As its parents know it.
    pub name: String,
    /// Whom it may follow.
    pub parents: Vec<SocketAddr>,
    /// The scopes that it uses.
    pub wanted: Vec<Scope>,
    /// Of its draws: the order of the parents, and jitter.
    pub seed: u64,
}

/// Why a child would not go on with a parent.
#[derive(Debug, Error)]
pub(crate) enum LeaveError {
    #[error("a line is malformed: {0}")]
    Json(#[from] serde_json::Error),
    #[error("an update is refused: {0}")]
    Refused(#[from] Refusal),
    #[error("it is stale")]
    Stale,
    #[error("its level is not below this one's")]
    Level,
}

/// Which parents are followed, and how.
pub(crate) struct Following<'a> {
    pub name: &'a str,
    pub addresses: &'a [SocketAddr],
    /// As in the query.
    pub scopes: &'a str,
    /// A relay's level.
    pub level: Option<u8>,
    pub max_line_bytes: usize,
    pub start: Instant,
    pub parents: &'a RefCell<Parents>,
    /// The parent whose watch is up.
    pub current: &'a Cell<Option<SocketAddr>>,
}

impl Following<'_> {
    /// Follows the parents for ever, one after another. `since` is the index that the child stands at; `accept` gets
    /// each update, or `None` for a heartbeat. Where it is dropped, the watch is closed, and no update is half accepted.
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
        // Logged once by parent, until it has sent lines again: a cut of minutes is not to fill the log.
        let mut logged: BTreeMap<SocketAddr, String> = BTreeMap::new();
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
            self.parents.borrow_mut().ended(self.start.elapsed());
            if had_lines || logged.get(&address) != Some(&ended) {
                log(format_args!("{}: the watch at {address} ended: {ended}", self.name));
                logged.insert(address, ended);
            }
        }
    }

    /// Follows one parent to the end of its watch; returns why it ended, for the log.
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
        let first_by = Instant::now() + FIRST_LINE;
        let stream = match timeout_at(first_by, connect(address)).await {
            Err(_) => return "no connection in time".to_owned(),
            Ok(Err(error)) => return format!("no connection: {error}"),
            Ok(Ok(stream)) => stream,
        };
        let (since, scopes, name) = (since(), self.scopes, query_text(self.name));
        let request = WatchRequest {
            host: address.to_string(),
            path: format!("/configuration?follow=1&since={since}&scopes={scopes}&name={name}"),
            first_by,
            silence: PARENT_SILENCE_TIMEOUT,
            max_line_bytes: self.max_line_bytes,
        };
        let Err(error) = self.watch(stream, request, address, accept).await;
        error.to_string()
    }

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
            let level = headers.get(LEVEL).and_then(|level| level.to_str().ok()?.parse().ok());
            let fits = level.is_some_and(|level| may_serve(level, Some(own)));
            if fits { Ok(()) } else { Err(LeaveError::Level) }
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
            let verdict = self.parents.borrow_mut().line(self.start.elapsed(), stale_s);
            if verdict == Verdict::Leave { Err(LeaveError::Stale) } else { Ok(()) }
        };
        follow_checked(stream, request, head, line).await
    }
}

/// A name as it may stand in a query.
fn query_text(name: &str) -> String {
    let fits = |letter: char| letter.is_ascii_alphanumeric() || matches!(letter, '-' | '_' | '.' | ':' | '/');
    name.chars().map(|letter| if fits(letter) { letter } else { '_' }).collect()
}

/// Reports to a parent what is in force here or below; returns whether it was accepted.
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

/// Follows the parents for ever, one after another; `connect` opens a connection, `apply` gets the state after each
/// update that was accepted, with the scopes that changed, and returns what is now in force, which is reported up. Where it is
/// dropped, the watch is closed; what was applied stays.
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
    let following = Following {
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

/// Reports what is in force: after each change with some jitter, and at intervals, to the parent whose watch is up.
async fn report_in_force<I, C>(
    connect: &impl Fn(SocketAddr) -> C,
    in_force: &RefCell<Option<InForce>>,
    changed: &Notify,
    current: &Cell<Option<SocketAddr>>,
    mut draws: Rand64,
) -> Infallible
where
    C: Future<Output = io::Result<I>>,
    I: AsyncRead + AsyncWrite + Unpin,
{
    loop {
        let every = REPORT_EVERY.mul_f64(0.9 + 0.1 * draws.rand_float());
        if timeout(every, changed.notified()).await.is_ok() {
            sleep(REPORT_JITTER.mul_f64(draws.rand_float())).await;
        }
        let Some(content) = in_force.borrow().clone() else { continue };
        let Some(address) = current.get() else { continue };
        // A report that fails is made again with the next, at the latest after `REPORT_EVERY`.
        report(connect, address, &content).await;
    }
}
