//! Storage for calls and works. Millions of them come and go in a run: their places are used again, and a generation in
//! the identifier tells a new entry from an old one at the same place.

/// Things with numbers that are used again under another one.
#[derive(Debug)]
pub(super) struct Slab<T> {
    pub(super) entries: Vec<Entry<T>>,
    pub(super) free: Vec<u32>,
}

/// A place, with the latest value that stood there.
#[derive(Debug)]
pub(super) struct Entry<T> {
    /// How often the place was given up.
    pub(super) generation: u32,
    /// Whether the value still stands.
    pub(super) occupied: bool,
    pub(super) value: T,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self { entries: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    pub(super) fn insert(&mut self, value: T) -> u64 {
        if let Some(place) = self.free.pop() {
            let entry = &mut self.entries[place as usize];
            (entry.occupied, entry.value) = (true, value);
            return u64::from(entry.generation) << 32 | u64::from(place);
        }
        self.entries.push(Entry { generation: 0, occupied: true, value });
        self.entries.len() as u64 - 1
    }

    pub(super) fn get(&mut self, id: u64) -> Option<&mut T> {
        let entry = self.entries.get_mut(id as u32 as usize)?;
        (entry.occupied && u64::from(entry.generation) == id >> 32).then_some(&mut entry.value)
    }

    pub(super) fn remove(&mut self, id: u64) {
        if self.get(id).is_some() {
            let entry = &mut self.entries[id as u32 as usize];
            (entry.generation, entry.occupied) = (entry.generation.wrapping_add(1), false);
            self.free.push(id as u32);
        }
    }
}
