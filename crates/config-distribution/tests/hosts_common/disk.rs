//! An in-memory disk with injected faults, as the backend of the store under test.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use config_distribution::document::Document;
use config_distribution::host::store::{Store, StoreContents};
use config_distribution::origin::Record;
use redb::{Builder, Database, DatabaseError, StorageBackend};

/// An in-memory disk with injected faults. Writes that were not synced are lost in a simulated power failure.
#[derive(Debug, Default, Clone)]
pub struct Disk {
    /// Content that survives a power failure.
    pub synced: Vec<u8>,
    /// Content as reads return it, including writes that are not synced.
    pub visible: Vec<u8>,
    /// Writes since the last sync, in order.
    pub writes: Vec<Write>,
    /// Number of next syncs that fail.
    pub failing_syncs: u32,
    /// Number of next attempts to open the database that fail.
    pub failing_openings: u32,
    /// Whether every second disk operation fails, with `ENOSPC` and `EIO` in turn.
    pub failing_every_second_call: bool,
    /// Number of disk operations made while every second one fails.
    calls: usize,
    /// Maximum size of the disk in bytes; `None` is unlimited.
    pub capacity_bytes: Option<usize>,
}

/// A change of the disk's content.
#[derive(Debug, Clone)]
pub enum Write {
    /// Sets the length of the file, in bytes.
    Length(usize),
    /// Writes these bytes at an offset.
    Bytes(usize, Vec<u8>),
}

impl Write {
    /// Applies the change to an image of the disk.
    pub fn apply(&self, image: &mut Vec<u8>) {
        match self {
            Self::Length(length) => image.resize(*length, 0),
            Self::Bytes(at, bytes) => image[*at..at + bytes.len()].copy_from_slice(bytes),
        }
    }
}

/// A handle of a [`Disk`]; clones refer to the same disk.
#[derive(Debug, Default, Clone)]
pub struct SharedDisk(Arc<Mutex<Disk>>);

/// Error codes (errno) of successive disk operations while every second one fails, in a cycle; 0 is success.
const FAULT_CYCLE: [i32; 4] = [0, ENOSPC, 0, EIO];
const ENOSPC: i32 = 28;
const EIO: i32 = 5;

impl Disk {
    /// Counts a disk operation and returns the error injected into it, if any.
    fn call(&mut self) -> io::Result<()> {
        if !self.failing_every_second_call {
            return Ok(());
        }
        let fault = FAULT_CYCLE[self.calls % FAULT_CYCLE.len()];
        self.calls += 1;
        if fault == 0 { Ok(()) } else { Err(io::Error::from_raw_os_error(fault)) }
    }
}

impl SharedDisk {
    pub fn lock_disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn open(&self) -> Result<Database, DatabaseError> {
        let mut disk = self.lock_disk();
        if disk.failing_openings > 0 {
            disk.failing_openings -= 1;
            return Err(io::Error::from_raw_os_error(EIO).into());
        }
        drop(disk);
        Builder::new().create_with_backend(self.clone())
    }

    /// Opens a store on this disk.
    pub fn open_store(&self) -> (Store, StoreContents) {
        let disk = self.clone();
        Store::open_with(move || disk.open()).expect("open the store on the in-memory disk")
    }

    /// A disk without faults whose content is `image`, all of it synced.
    pub fn with_image(image: Vec<u8>) -> Self {
        Self(Arc::new(Mutex::new(Disk { synced: image.clone(), visible: image, ..Disk::default() })))
    }

    /// A new disk without faults with the content that survives a power failure.
    pub fn after_power_loss(&self) -> Self {
        Self::with_image(self.lock_disk().synced.clone())
    }
}

pub fn offset(value: u64) -> usize {
    usize::try_from(value).expect("the value fits into usize")
}

impl StorageBackend for SharedDisk {
    fn len(&self) -> io::Result<u64> {
        let mut disk = self.lock_disk();
        disk.call()?;
        Ok(disk.visible.len() as u64)
    }

    fn read(&self, at: u64, length: usize) -> io::Result<Vec<u8>> {
        let at = offset(at);
        let mut disk = self.lock_disk();
        disk.call()?;
        let part = disk.visible.get(at..at + length).map(<[u8]>::to_vec);
        part.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        let (mut disk, length) = (self.lock_disk(), offset(length));
        disk.call()?;
        if disk.capacity_bytes.is_some_and(|capacity_bytes| length > capacity_bytes) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        disk.visible.resize(length, 0);
        disk.writes.push(Write::Length(length));
        Ok(())
    }

    fn sync_data(&self, _: bool) -> io::Result<()> {
        let mut disk = self.lock_disk();
        if let Err(error) = disk.call() {
            disk.writes.clear();
            return Err(error);
        }
        if disk.failing_syncs > 0 {
            disk.failing_syncs -= 1;
            // The unsynced writes stay visible to reads but never reach the disk, because later syncs do not retry
            // them.
            disk.writes.clear();
            return Err(io::Error::other("the sync failed"));
        }
        let writes = std::mem::take(&mut disk.writes);
        for write in writes {
            write.apply(&mut disk.synced);
        }
        Ok(())
    }

    fn write(&self, at: u64, bytes: &[u8]) -> io::Result<()> {
        let (mut disk, at) = (self.lock_disk(), offset(at));
        disk.call()?;
        if at + bytes.len() > disk.visible.len() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        disk.visible[at..at + bytes.len()].copy_from_slice(bytes);
        disk.writes.push(Write::Bytes(at, bytes.to_vec()));
        Ok(())
    }
}

/// A record of scope `service/api` with this index and body, and a request id made from the index.
pub fn record(index: u64, body: &str) -> Record {
    let scope = "service/api".parse().unwrap();
    Record { index, document: Document::new(scope, index, body.into()), request: format!("r{index}").into() }
}

pub fn indexes(found: &StoreContents) -> Vec<u64> {
    found.records.iter().map(|record| record.index).collect()
}

/// A storage backend that records each write before it passes it on to the disk.
#[derive(Debug, Clone)]
pub struct RecordingBackend {
    pub disk: SharedDisk,
    /// The recorded writes, in order.
    pub recorded: Arc<Mutex<Vec<Write>>>,
}

impl StorageBackend for RecordingBackend {
    fn len(&self) -> io::Result<u64> {
        self.disk.len()
    }

    fn read(&self, at: u64, length: usize) -> io::Result<Vec<u8>> {
        self.disk.read(at, length)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.recorded.lock().unwrap().push(Write::Length(offset(length)));
        self.disk.set_len(length)
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.disk.sync_data(eventual)
    }

    fn write(&self, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.recorded.lock().unwrap().push(Write::Bytes(offset(at), bytes.to_vec()));
        self.disk.write(at, bytes)
    }
}
