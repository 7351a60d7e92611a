//! Slab storage for calls and work items. As a run creates millions of them, entries are reused, and a generation
//! number in the identifier distinguishes a new value from an earlier one in the same entry.

/// A slab with generational identifiers: the generation in the upper 32 bits, the entry's index in the lower 32 bits.
#[derive(Debug)]
pub(super) struct Slab<T> {
    pub(super) entries: Vec<Entry<T>>,
    /// Indices of the slab's unoccupied entries.
    pub(super) free: Vec<u32>,
}

/// An entry of the slab, with the latest value stored in it.
#[derive(Debug)]
pub(super) struct Entry<T> {
    /// Number of values that have been removed from the slab entry so far, wrapping around.
    pub(super) generation: u32,
    /// Whether the slab entry holds a value that is in use; false after its removal.
    pub(super) occupied: bool,
    pub(super) value: T,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self { entries: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// Stores a value and returns its identifier.
    pub(super) fn insert(&mut self, value: T) -> u64 {
        if let Some(index) = self.free.pop() {
            let entry = &mut self.entries[index as usize];
            (entry.occupied, entry.value) = (true, value);
            return u64::from(entry.generation) << 32 | u64::from(index);
        }
        self.entries.push(Entry { generation: 0, occupied: true, value });
        self.entries.len() as u64 - 1
    }

    /// The value with the identifier `id`, or `None` if it has been removed.
    pub(super) fn get(&mut self, id: u64) -> Option<&mut T> {
        let entry = self.entries.get_mut(id as u32 as usize)?;
        (entry.occupied && u64::from(entry.generation) == id >> 32).then_some(&mut entry.value)
    }

    /// Removes the value with the identifier `id`, if it is still stored.
    pub(super) fn remove(&mut self, id: u64) {
        if self.get(id).is_some() {
            let entry = &mut self.entries[id as u32 as usize];
            (entry.generation, entry.occupied) = (entry.generation.wrapping_add(1), false);
            self.free.push(id as u32);
        }
    }
}
