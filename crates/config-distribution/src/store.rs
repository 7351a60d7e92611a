//! What a process keeps on disk: records by index in one table of a redb file, each commit synced. redb keeps the last
//! good commit beside the one that is being written and checks both by digest, so that a torn write leaves the former.

use std::any::Any;
use std::collections::BTreeSet;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;

use redb::backends::FileBackend;
use redb::{Builder, Database, DatabaseError, ReadableTable, StorageBackend, StorageError, TableDefinition};
use thiserror::Error;

use crate::host::log::log;
use crate::origin::Record;

const RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
/// Figures by name; `index` is the one that the process stood at.
const FIGURES: TableDefinition<&str, u64> = TableDefinition::new("figures");
/// The file in the directory.
const FILE: &str = "configuration.redb";
/// The file while it is made. It gets its name once it is whole, so that a file of that name was whole once.
const NEW_FILE: &str = "configuration.redb.new";
/// A damaged file that was renamed out of the way, the last one only.
const DAMAGED_FILE: &str = "configuration.redb.damaged";
/// Faults that pass and have no stable `io::ErrorKind`: `EIO`, `ENFILE` and `EMFILE`.
const PASSING_CODES: [i32; 3] = [5, 23, 24];
/// Bytes of the file that are cached in memory; records are read once, at the start.
const CACHE: usize = 4 << 20;

/// Why the store cannot be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file or its directory.
    #[error("{0}")]
    Database(Box<redb::Error>),
    /// A record that is none.
    #[error("record {index}: {error}")]
    Record {
        /// Its index.
        index: u64,
        /// Why.
        error: serde_json::Error,
    },
    /// The file is not what its header says, which redb answers with a panic.
    #[error("the file is damaged: {0}")]
    Damaged(String),
}

impl<E: Into<redb::Error>> From<E> for StoreError {
    fn from(error: E) -> Self {
        Self::Database(Box::new(error.into()))
    }
}

impl StoreError {
    /// Whether the disk takes nothing more.
    #[must_use]
    pub fn is_full(&self) -> bool {
        use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
        let Self::Database(error) = self else { return false };
        let redb::Error::Io(error) = &**error else { return false };
        matches!(error.kind(), StorageFull | QuotaExceeded | FileTooLarge)
    }

    /// Whether the disk fails in a way that may pass by itself, so that the same may succeed later.
    #[must_use]
    pub fn may_pass(&self) -> bool {
        use io::ErrorKind::{Interrupted, OutOfMemory, ResourceBusy, TimedOut};
        let Self::Database(error) = self else { return false };
        let redb::Error::Io(error) = &**error else { return false };
        self.is_full()
            || matches!(error.kind(), Interrupted | OutOfMemory | ResourceBusy | TimedOut)
            || error.raw_os_error().is_some_and(|code| PASSING_CODES.contains(&code))
    }

    /// Whether what stands in the file is no store, or no longer.
    #[must_use]
    pub fn is_damage(&self) -> bool {
        use io::ErrorKind::{InvalidData, UnexpectedEof};
        match self {
            Self::Record { .. } | Self::Damaged(_) => true,
            Self::Database(error) => match &**error {
                redb::Error::Corrupted(_) | redb::Error::TableTypeMismatch { .. } => true,
                redb::Error::Io(error) => matches!(error.kind(), InvalidData | UnexpectedEof),
                _ => false,
            },
        }
    }
}

/// What became of a write.
#[derive(Debug)]
pub enum Outcome {
    /// It is on disk, synced.
    Written,
    /// It is not on disk, which was looked at after the failure.
    NotWritten(StoreError),
    /// It cannot be known; a repeat of the write finds out.
    Unknown(StoreError),
}

type Open = Box<dyn Fn() -> Result<Database, DatabaseError> + Send>;

/// The records on disk.
pub struct Store {
    open: Open,
    /// None after a failure, until the file has been opened anew.
    database: Option<Database>,
    indexes: BTreeSet<u64>,
}

/// What was found at the start.
#[derive(Debug, Default)]
pub struct Found {
    /// In the order of their indexes.
    pub records: Vec<Record>,
    /// The index that the process stood at, if it stored one.
    pub index: u64,
}

impl Found {
    fn is_whole(&self) -> bool {
        self.records.iter().all(|record| record.document.is_whole())
    }
}

impl Store {
    /// In a directory, which is made if need be.
    ///
    /// # Errors
    /// The disk, or what stands in the file; another process has it open.
    pub fn at(directory: &Path) -> Result<(Self, Found), StoreError> {
        fs::create_dir_all(directory)?;
        let path = directory.join(FILE);
        if !path.try_exists()? {
            make(&directory.join(NEW_FILE), &path)?;
        }
        let opened = Self::over(move || Builder::new().set_cache_size(CACHE).open(&path))?;
        // The file's name is to outlast a loss of power as well.
        File::open(directory)?.sync_all()?;
        Ok(opened)
    }

    /// As [`Store::at`], for what can be had again from elsewhere: a damaged file is renamed, and a
    /// store without records takes its place.
    ///
    /// # Errors
    /// As [`Store::at`], but for damage.
    pub fn at_or_anew(directory: &Path) -> Result<(Self, Found), StoreError> {
        let error = match Self::at(directory) {
            Ok((store, found)) if found.is_whole() => return Ok((store, found)),
            // The file is closed with its store, before another takes its place.
            Ok(_) => StoreError::Damaged("a document differs from its digest".to_owned()),
            Err(error) if error.is_damage() => error,
            Err(error) => return Err(error),
        };
        log(format_args!("set aside as {DAMAGED_FILE}: {error}"));
        fs::rename(directory.join(FILE), directory.join(DAMAGED_FILE))?;
        Self::at(directory)
    }

    /// Over what `open` opens, which is asked again after each failure.
    ///
    /// # Errors
    /// As [`Store::at`].
    pub fn over(
        open: impl Fn() -> Result<Database, DatabaseError> + Send + 'static,
    ) -> Result<(Self, Found), StoreError> {
        let mut store = Self { open: Box::new(open), database: None, indexes: BTreeSet::new() };
        let found = store.read()?;
        Ok((store, found))
    }

    /// The indexes of the records on disk.
    pub fn indexes(&self) -> impl Iterator<Item = u64> {
        self.indexes.iter().copied()
    }

    /// Writes records and deletes others, all or nothing, and syncs; where that fails, looks at what is on disk.
    pub fn write(&mut self, records: &[Record], delete: &[u64], index: Option<u64>) -> Outcome {
        let Err(error) = self.commit(records, delete, index) else { return Outcome::Written };
        // The file is read anew from the disk's side: the failed handle knows what it meant to write.
        self.database = None;
        match self.read() {
            Err(_) => Outcome::Unknown(error),
            Ok(_) if !records.iter().all(|record| self.indexes.contains(&record.index)) => {
                Outcome::NotWritten(error)
            }
            // It reads well, which a failed sync does not rule out: written again, it is known.
            Ok(_) => match self.commit(records, delete, index) {
                Ok(()) => Outcome::Written,
                Err(error) => {
                    self.database = None;
                    Outcome::Unknown(error)
                }
            },
        }
    }

    fn commit(&mut self, records: &[Record], delete: &[u64], index: Option<u64>) -> Result<(), StoreError> {
        caught(|| self.try_commit(records, delete, index))
    }

    fn read(&mut self) -> Result<Found, StoreError> {
        caught(|| self.try_read())
    }

    fn try_commit(
        &mut self,
        records: &[Record],
        delete: &[u64],
        index: Option<u64>,
    ) -> Result<(), StoreError> {
        let transaction = self.database()?.begin_write()?;
        {
            let mut table = transaction.open_table(RECORDS)?;
            for &gone in delete {
                table.remove(gone)?;
            }
            for record in records {
                let text = serde_json::to_vec(record)
                    .map_err(|error| StoreError::Record { index: record.index, error })?;
                table.insert(record.index, &*text)?;
            }
            if let Some(index) = index {
                transaction.open_table(FIGURES)?.insert("index", index)?;
            }
        }
        transaction.commit()?;
        self.indexes.retain(|index| !delete.contains(index));
        self.indexes.extend(records.iter().map(|record| record.index));
        Ok(())
    }

    fn try_read(&mut self) -> Result<Found, StoreError> {
        let transaction = self.database()?.begin_read()?;
        let missing = |error: &redb::TableError| matches!(error, redb::TableError::TableDoesNotExist(_));
        let mut found = Found::default();
        match transaction.open_table(RECORDS) {
            Err(error) if missing(&error) => {}
            table => {
                for entry in table?.iter()? {
                    let (index, text) = entry?;
                    let index = index.value();
                    let record = serde_json::from_slice(text.value())
                        .map_err(|error| StoreError::Record { index, error })?;
                    found.records.push(record);
                }
            }
        }
        match transaction.open_table(FIGURES) {
            Err(error) if missing(&error) => {}
            table => found.index = table?.get("index")?.map_or(0, |index| index.value()),
        }
        self.indexes = found.records.iter().map(|record| record.index).collect();
        Ok(found)
    }

    fn database(&mut self) -> Result<&Database, StoreError> {
        if self.database.is_none() {
            self.database = Some((self.open)()?);
        }
        // It has just been opened.
        self.database.as_ref().ok_or_else(|| StorageError::PreviousIo.into())
    }
}

/// Makes a store without records under a name of its own, and gives it its own name once it is synced. What a process
/// that was killed in the middle of this left is written over.
fn make(new: &Path, path: &Path) -> Result<(), StoreError> {
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(new)?;
    // Locked, so that of two processes one makes it, and no longer than until it has its name.
    let backend = FileBackend::new(file)?;
    if path.try_exists()? {
        return Ok(());
    }
    backend.set_len(0)?;
    let database = Builder::new().create_with_backend(backend)?;
    fs::rename(new, path)?;
    drop(database);
    Ok(())
}

/// Makes an error of a panic: redb checks some of what it reads by assertions, and a damaged file must not end a process
/// that has more to do than to keep it.
fn caught<T>(work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(work))
        .unwrap_or_else(|panic| Err(StoreError::Damaged(text_of(&*panic).to_owned())))
}

fn text_of(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no reason told")
}
