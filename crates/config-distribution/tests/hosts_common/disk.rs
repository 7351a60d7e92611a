//! A disk in memory that fails as it is told, under the store of a test.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use config_distribution::document::Document;
use config_distribution::host::store::{Found, Store};
use config_distribution::origin::Record;
use redb::{Builder, Database, DatabaseError, StorageBackend};

/// A disk that fails as it is told. What was not synced is lost with its power.
#[derive(Debug, Default, Clone)]
pub struct Disk {
    pub synced: Vec<u8>,
    /// As readers see it.
    pub seen: Vec<u8>,
    /// Since the last sync, in order.
    pub writes: Vec<Write>,
    /// Syncs that fail from now on.
    pub failing_syncs: u32,
    /// Openings that fail from now on.
    pub failing_openings: u32,
    /// Whether each second call fails, with `ENOSPC` and `EIO` in turn.
    pub failing_each_second: bool,
    /// Calls while that holds.
    calls: usize,
    /// Bytes that it takes.
    pub room: Option<usize>,
}

#[derive(Debug, Clone)]
pub enum Write {
    Length(usize),
    Bytes(usize, Vec<u8>),
}

impl Write {
    pub fn apply(&self, image: &mut Vec<u8>) {
        match self {
            Self::Length(length) => image.resize(*length, 0),
            Self::Bytes(at, bytes) => image[*at..at + bytes.len()].copy_from_slice(bytes),
        }
    }
}

#[derive(Debug, Default, Clone)]
pub struct Shared(Arc<Mutex<Disk>>);

/// The fault of every second call.
const FAULTS: [i32; 4] = [0, ENOSPC, 0, EIO];
const ENOSPC: i32 = 28;
const EIO: i32 = 5;

impl Disk {
    fn call(&mut self) -> io::Result<()> {
        if !self.failing_each_second {
            return Ok(());
        }
        let fault = FAULTS[self.calls % FAULTS.len()];
        self.calls += 1;
        if fault == 0 { Ok(()) } else { Err(io::Error::from_raw_os_error(fault)) }
    }
}

impl Shared {
    pub fn disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn open(&self) -> Result<Database, DatabaseError> {
        let mut disk = self.disk();
        if disk.failing_openings > 0 {
            disk.failing_openings -= 1;
            return Err(io::Error::from_raw_os_error(EIO).into());
        }
        drop(disk);
        Builder::new().create_with_backend(self.clone())
    }

    pub fn store(&self) -> (Store, Found) {
        let disk = self.clone();
        Store::over(move || disk.open()).expect("it opens")
    }

    pub fn with(image: Vec<u8>) -> Self {
        Self(Arc::new(Mutex::new(Disk { synced: image.clone(), seen: image, ..Disk::default() })))
    }

    /// After a loss of power.
    pub fn rebooted(&self) -> Self {
        Self::with(self.disk().synced.clone())
    }
}

pub fn offset(value: u64) -> usize {
    usize::try_from(value).expect("it fits")
}

impl StorageBackend for Shared {
    fn len(&self) -> io::Result<u64> {
        let mut disk = self.disk();
        disk.call()?;
        Ok(disk.seen.len() as u64)
    }

    fn read(&self, at: u64, length: usize) -> io::Result<Vec<u8>> {
        let at = offset(at);
        let mut disk = self.disk();
        disk.call()?;
        let part = disk.seen.get(at..at + length).map(<[u8]>::to_vec);
        part.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        let (mut disk, length) = (self.disk(), offset(length));
        disk.call()?;
        if disk.room.is_some_and(|room| length > room) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        disk.seen.resize(length, 0);
        disk.writes.push(Write::Length(length));
        Ok(())
    }

    fn sync_data(&self, _: bool) -> io::Result<()> {
        let mut disk = self.disk();
        if let Err(error) = disk.call() {
            disk.writes.clear();
            return Err(error);
        }
        if disk.failing_syncs > 0 {
            disk.failing_syncs -= 1;
            // What readers see is not on disk, and is not tried again.
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
        let (mut disk, at) = (self.disk(), offset(at));
        disk.call()?;
        if at + bytes.len() > disk.seen.len() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        disk.seen[at..at + bytes.len()].copy_from_slice(bytes);
        disk.writes.push(Write::Bytes(at, bytes.to_vec()));
        Ok(())
    }
}

pub fn record(index: u64, body: &str) -> Record {
    let scope = "service/api".parse().unwrap();
    Record { index, document: Document::new(scope, index, body.into()), request: format!("r{index}").into() }
}

pub fn indexes(found: &Found) -> Vec<u64> {
    found.records.iter().map(|record| record.index).collect()
}

/// Notes each write of a disk.
#[derive(Debug, Clone)]
pub struct Catching {
    pub disk: Shared,
    pub log: Arc<Mutex<Vec<Write>>>,
}

impl StorageBackend for Catching {
    fn len(&self) -> io::Result<u64> {
        self.disk.len()
    }

    fn read(&self, at: u64, length: usize) -> io::Result<Vec<u8>> {
        self.disk.read(at, length)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.log.lock().unwrap().push(Write::Length(offset(length)));
        self.disk.set_len(length)
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.disk.sync_data(eventual)
    }

    fn write(&self, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.log.lock().unwrap().push(Write::Bytes(offset(at), bytes.to_vec()));
        self.disk.write(at, bytes)
    }
}
