//! The queue of a run's events: a wheel of short slots, as a heap of millions of timers would be the slowest part.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::mem;

/// Width of a slot: 2 to this many ns, about 65 us.
const SLOT_BITS: u32 = 16;
/// Slots, for about 4.3 s; what is due later waits in a heap.
const SLOTS: u64 = 1 << 16;

#[derive(Debug)]
struct Entry<T> {
    at: u64,
    number: u64,
    due: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events by their times in ns; those of one time come in the order in which they were put in.
#[derive(Debug)]
pub struct Wheel<T> {
    slots: Vec<Vec<Entry<T>>>,
    /// Those of the slot at hand.
    now: BinaryHeap<Reverse<Entry<T>>>,
    far: BinaryHeap<Reverse<Entry<T>>>,
    at: u64,
    number: u64,
    waiting: usize,
}

impl<T> Default for Wheel<T> {
    fn default() -> Self {
        Self {
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            now: BinaryHeap::new(),
            far: BinaryHeap::new(),
            at: 0,
            number: 0,
            waiting: 0,
        }
    }
}

impl<T> Wheel<T> {
    /// Puts an event in, to come at a time in ns; one that should have come already comes next.
    pub fn push(&mut self, at: u64, due: T) {
        self.number += 1;
        self.waiting += 1;
        let entry = Entry { at, number: self.number, due };
        let slot = at >> SLOT_BITS;
        if slot <= self.at {
            self.now.push(Reverse(entry));
        } else if slot < self.at + SLOTS {
            self.slots[(slot % SLOTS) as usize].push(entry);
        } else {
            self.far.push(Reverse(entry));
        }
    }

    /// Takes the next event out; `None` when there is none.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        if self.waiting == 0 {
            return None;
        }
        while self.now.is_empty() {
            self.at += 1;
            let near = self.at + SLOTS;
            while self.far.peek().is_some_and(|Reverse(entry)| entry.at >> SLOT_BITS < near) {
                let Some(Reverse(entry)) = self.far.pop() else { break };
                self.slots[((entry.at >> SLOT_BITS) % SLOTS) as usize].push(entry);
            }
            // Its room is given back: kept, each slot would hold that of the busiest time.
            let slot = mem::take(&mut self.slots[(self.at % SLOTS) as usize]);
            self.now.extend(slot.into_iter().map(Reverse));
        }
        self.waiting -= 1;
        self.now.pop().map(|Reverse(entry)| (entry.at, entry.due))
    }
}
