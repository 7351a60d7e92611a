//! The line loop: batches, and whose event each line is.
//!
//! A batch opens with `TURN` and its time, and ends with `YOUR_TURN`, which is answered by `READY`. Within it
//! `TO` says for which instance the events are that follow, and actions stand behind an `INSTANCE` line in
//! the same way. The output is flushed only at the end of a batch, which the simulator waits for.
//! The module owns the instances, the clock and the batch that is being read.

use std::io::{BufRead, Write};
use std::str::from_utf8;

use balancer_policy::Action;
use balancer_policy::interface::Time;
use rustc_hash::FxHashMap;

use crate::endpoint_lists::EndpointLists;
use crate::error::{HostError, LineError, Malformed};
use crate::event::{self, EventKind};
use crate::fields::{Fields, Line};
use crate::instance::Instance;

/// All instances of the process and the lists they share.
#[derive(Default)]
pub struct Host {
    /// By number; `None` for one that was killed.
    instances: FxHashMap<u32, Option<Instance>>,
    lists: EndpointLists,
    /// The time of the batch; it never goes back.
    clock: Time,
    batch: Option<Batch>,
    /// Returned for the last event, and not written yet.
    actions: Vec<Action>,
}

/// The batch that is being read.
struct Batch {
    number: String,
    /// The instance that events are for.
    recipient: Option<u32>,
    /// The instance whose actions were written last.
    last_writer: Option<u32>,
}

impl Host {
    /// Serves batches until the input ends.
    ///
    /// # Errors
    /// A line makes no sense, the input ends within a batch, or reading or writing fails.
    pub fn run(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
        let mut text = Vec::new();
        let mut number = 0;
        loop {
            text.clear();
            if input.read_until(b'\n', &mut text)? == 0 {
                return self.ensure_end().map_err(|cause| HostError::Line { line: number, cause });
            }
            number += 1;
            let text = text.strip_suffix(b"\n").unwrap_or(&text);
            self.line(text, &mut output).map_err(|error| error.at_line(number))?;
        }
    }

    fn ensure_end(&self) -> Result<(), Malformed> {
        if self.batch.is_some() { Err(Malformed::IncompleteBatch) } else { Ok(()) }
    }

    fn line(&mut self, text: &[u8], output: &mut impl Write) -> Result<(), LineError> {
        let text = from_utf8(text).map_err(|_| Malformed::NotText)?;
        let Line { name, mut fields } = Line::split(text);
        if name != "M" {
            self.lists.ensure_complete()?;
        }
        if name == "TURN" {
            return Ok(self.begin_batch(fields)?);
        }
        let batch = self.batch.as_mut().ok_or_else(|| outside_batch(name))?;
        match name {
            "YOUR_TURN" => return self.end_batch(&fields, output),
            "TO" => {
                batch.recipient = Some(fields.number("balancerId")?);
                fields.ensure_end()?;
            }
            "INVENTORY" => self.lists.open(fields)?,
            "M" => self.lists.add(fields)?,
            _ => {
                let number = batch.recipient.ok_or(Malformed::NoRecipient)?;
                self.event(number, name, fields)?;
                self.write_actions(number, output)?;
            }
        }
        Ok(())
    }

    fn begin_batch(&mut self, mut fields: Fields) -> Result<(), Malformed> {
        if self.batch.is_some() {
            return Err(Malformed::OutsideBatch("TURN stands within a batch, not"));
        }
        let clock = fields.seconds("clock")?;
        let number = fields.text("batch")?;
        number.parse::<u64>().map_err(|_| Malformed::value("batch", number))?;
        fields.ensure_end()?;
        if clock < self.clock {
            return Err(Malformed::ClockWentBack);
        }
        self.clock = clock;
        self.batch = Some(Batch { number: number.to_owned(), recipient: None, last_writer: None });
        Ok(())
    }

    fn end_batch(&mut self, fields: &Fields, output: &mut impl Write) -> Result<(), LineError> {
        fields.ensure_end()?;
        if let Some(batch) = self.batch.take() {
            writeln!(output, "READY\t{}", batch.number)?;
        }
        output.flush()?;
        Ok(())
    }

    fn event(&mut self, number: u32, name: &str, mut fields: Fields) -> Result<(), Malformed> {
        if name == "START" {
            return self.start(number, fields);
        }
        let instance = self.instances.get_mut(&number).ok_or(Malformed::NotStarted(number))?;
        if name == "DESTROY" {
            *instance = None;
            return fields.ensure_end();
        }
        let kind: EventKind = name.parse()?;
        // Nothing is owed to a killed instance: what still comes for it is dropped unread.
        let Some(instance) = instance else { return Ok(()) };
        let event = event::read(kind, instance, &self.lists, &mut fields)?;
        fields.ensure_end()?;
        if let Some(event) = event {
            instance.handle(self.clock, event, &mut self.actions);
        }
        Ok(())
    }

    fn start(&mut self, number: u32, mut fields: Fields) -> Result<(), Malformed> {
        let seed = fields.number("nonce64")?;
        let loaded = balancer_settings::read(fields.remainder("setup")?)?;
        let instance = Instance::start(loaded, seed, self.clock, &mut self.actions)?;
        self.instances.insert(number, Some(instance));
        Ok(())
    }

    fn write_actions(&mut self, number: u32, output: &mut impl Write) -> Result<(), LineError> {
        if self.actions.is_empty() {
            return Ok(());
        }
        let Some(Some(instance)) = self.instances.get_mut(&number) else { return Ok(()) };
        if let Some(batch) = &mut self.batch
            && batch.last_writer != Some(number)
        {
            batch.last_writer = Some(number);
            writeln!(output, "INSTANCE\t{number}")?;
        }
        instance.write(self.actions.drain(..), output)?;
        Ok(())
    }
}

fn outside_batch(name: &str) -> Malformed {
    Malformed::OutsideBatch(if name == "YOUR_TURN" { "YOUR_TURN" } else { "a message" })
}
