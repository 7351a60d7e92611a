//! Reads the input line by line, keeps track of batches and dispatches each event to its instance.
//!
//! A batch begins with `TURN`, which contains its time, and ends with `YOUR_TURN`, which is answered by `READY`.
//! Within a batch, a `TO` line selects the instance that receives the events that follow. In the output, an
//! `INSTANCE` line likewise selects the instance that the following actions come from. The output is flushed
//! only at the end of a batch, because the simulator waits until then.
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

/// All balancer instances of the process, and the endpoint lists that they share.
#[derive(Default)]
pub struct Host {
    /// Balancer instances by the number that the simulator gave them; `None` for an instance that a `DESTROY` message
    /// has ended.
    instances: FxHashMap<u32, Option<Instance>>,
    lists: EndpointLists,
    /// Simulated time of the current or latest batch of events; it never decreases.
    clock: Time,
    batch: Option<Batch>,
    /// Actions that the latest event produced and that have not been written yet.
    actions: Vec<Action>,
}

/// The batch that is being read.
struct Batch {
    number: String,
    /// Number of the instance that receives the next events; `None` before the first `TO` line of the batch.
    recipient: Option<u32>,
    /// Number of the instance whose actions were written last in this batch.
    last_writer: Option<u32>,
}

impl Host {
    /// Processes batches until the input ends.
    ///
    /// # Errors
    /// An input line is malformed, the input ends within a batch, or reading or writing fails.
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
            return Err(Malformed::OutsideBatch("TURN is only allowed"));
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
        // An instance ended by `DESTROY` needs no further events; their fields are dropped without being read.
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
    Malformed::OutsideBatch(if name == "YOUR_TURN" {
        "YOUR_TURN is not allowed"
    } else {
        "a message other than TURN is not allowed"
    })
}
