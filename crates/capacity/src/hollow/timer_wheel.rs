//! The event queue of a simulation run: a timer wheel with short slots. A single heap with millions of timers would be
//! the slowest part of the simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::mem;

/// Base-2 logarithm of the width of a slot in ns: a slot is 2^16 ns, about 65 us, wide.
const SLOT_BITS: u32 = 16;
/// Number of slots of the wheel; together they cover about 4.3 s of virtual time. Events that are due later are held in
/// a heap.
const SLOTS: u64 = 1 << 16;

/// An event in the queue, ordered by its time and then by the order of insertion.
#[derive(Debug)]
struct Entry<T> {
    at: u64,
    sequence: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A timer wheel: returns events in the order of their times in ns, and events with equal times in the order of
/// insertion.
#[derive(Debug)]
pub struct TimerWheel<T> {
    slots: Vec<Vec<Entry<T>>>,
    /// Entries of the current slot of the wheel, and those inserted with an earlier time.
    current: BinaryHeap<Reverse<Entry<T>>>,
    /// Entries that are due after the last slot of the wheel.
    overflow: BinaryHeap<Reverse<Entry<T>>>,
    /// Number of the wheel's current slot, counted from virtual time 0.
    at: u64,
    /// Number of entries inserted into the queue so far; the sequence number of the latest one.
    sequence: u64,
    /// Number of entries in the queue.
    len: usize,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        Self {
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            current: BinaryHeap::new(),
            overflow: BinaryHeap::new(),
            at: 0,
            sequence: 0,
            len: 0,
        }
    }
}

impl<T> TimerWheel<T> {
    /// Inserts an event that is due at the time `at`, in ns. An event whose time has already passed is returned as soon
    /// as possible.
    pub fn push(&mut self, at: u64, event: T) {
        self.sequence += 1;
        self.len += 1;
        let entry = Entry { at, sequence: self.sequence, event };
        let slot = at >> SLOT_BITS;
        if slot <= self.at {
            self.current.push(Reverse(entry));
        } else if slot < self.at + SLOTS {
            self.slots[(slot % SLOTS) as usize].push(entry);
        } else {
            self.overflow.push(Reverse(entry));
        }
    }

    /// Removes and returns the next event with its time in ns, or `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        if self.len == 0 {
            return None;
        }
        while self.current.is_empty() {
            self.at += 1;
            let horizon = self.at + SLOTS;
            while self.overflow.peek().is_some_and(|Reverse(entry)| entry.at >> SLOT_BITS < horizon) {
                let Some(Reverse(entry)) = self.overflow.pop() else { break };
                self.slots[((entry.at >> SLOT_BITS) % SLOTS) as usize].push(entry);
            }
            // The slot's memory is released; otherwise each slot would keep the capacity of its busiest time.
            let slot = mem::take(&mut self.slots[(self.at % SLOTS) as usize]);
            self.current.extend(slot.into_iter().map(Reverse));
        }
        self.len -= 1;
        self.current.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}
