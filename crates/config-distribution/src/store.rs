//! Storage on disk: records by index in one table of a redb file; each commit is synced. redb keeps the last good
//! commit while it writes the next and verifies both by checksum, so that after a torn write the last good one is used.

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

/// Table of the records, as JSON, by index.
const RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
/// Table of numbers by name; `index` is the index that the process had reached.
const FIGURES: TableDefinition<&str, u64> = TableDefinition::new("figures");
/// Name of the store's file in its directory.
const FILE_NAME: &str = "configuration.redb";
/// Name of the file while it is being created. It is renamed to [`FILE_NAME`] once it is complete, so that a file of
/// that name was complete at least once.
const NEW_FILE_NAME: &str = "configuration.redb.new";
/// Name that a damaged file is renamed to; only the last one is kept.
const DAMAGED_FILE_NAME: &str = "configuration.redb.damaged";
/// Codes (errno) of transient errors that have no stable `io::ErrorKind`: `EIO`, `ENFILE` and `EMFILE`.
const TRANSIENT_ERROR_CODES: [i32; 3] = [5, 23, 24];
/// Size of the file's cache in memory, in bytes; small because the records are only read once, at the start.
const CACHE_BYTES: usize = 4 << 20;

/// Error of the store. The origin sends the texts to publishers in HTTP responses, so they are part of the protocol.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file system or redb reported an error.
    #[error("{0}")]
    Database(Box<redb::Error>),
    /// A record cannot be decoded from JSON, or encoded as JSON.
    #[error("record {index}: {error}")]
    Record {
        /// Index of the change that the record holds.
        index: u64,
        /// The JSON error.
        error: serde_json::Error,
    },
    /// The content of the file is inconsistent: redb panicked with this message, or a document does not match its
    /// digest.
    #[error("the file is damaged: {0}")]
    Damaged(String),
}

impl<E: Into<redb::Error>> From<E> for StoreError {
    fn from(error: E) -> Self {
        Self::Database(Box::new(error.into()))
    }
}

impl StoreError {
    /// Whether the disk is full or a quota or a limit on the file's size is reached.
    #[must_use]
    pub fn is_full(&self) -> bool {
        use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
        let Self::Database(error) = self else { return false };
        let redb::Error::Io(error) = &**error else { return false };
        matches!(error.kind(), StorageFull | QuotaExceeded | FileTooLarge)
    }

    /// Whether the error is transient, so that the same operation may succeed later.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        use io::ErrorKind::{Interrupted, OutOfMemory, ResourceBusy, TimedOut};
        let Self::Database(error) = self else { return false };
        let redb::Error::Io(error) = &**error else { return false };
        self.is_full()
            || matches!(error.kind(), Interrupted | OutOfMemory | ResourceBusy | TimedOut)
            || error.raw_os_error().is_some_and(|code| TRANSIENT_ERROR_CODES.contains(&code))
    }

    /// Whether the content of the file is not, or no longer, a valid store.
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

/// Result of a write to the store.
#[derive(Debug)]
pub enum Outcome {
    /// The write is on disk and synced.
    Written,
    /// The write failed, and reading the file again showed that it is not on disk.
    NotWritten(StoreError),
    /// The write failed, and it is unknown whether it is on disk. Repeating the write settles it.
    Unknown(StoreError),
}

/// Function that opens the database.
type Open = Box<dyn Fn() -> Result<Database, DatabaseError> + Send>;

/// A store of records on disk.
pub struct Store {
    open: Open,
    /// The open database; `None` after a failure, until it is opened again.
    database: Option<Database>,
    /// Indexes of the changes whose records are on disk.
    indexes: BTreeSet<u64>,
}

/// Content of a store when it was opened.
#[derive(Debug, Default)]
pub struct StoreContents {
    /// The records, in the order of their indexes.
    pub records: Vec<Record>,
    /// The index that the process's state had reached when it was last stored; 0 if none was stored.
    pub index: u64,
}

impl StoreContents {
    /// Whether the digests of all documents match.
    fn has_valid_digest(&self) -> bool {
        self.records.iter().all(|record| record.document.has_valid_digest())
    }
}

impl Store {
    /// Opens the store in a directory. The directory and the store are created if they do not exist.
    ///
    /// # Errors
    /// The disk fails, the file is not a valid store, or another process has it open.
    pub fn open_in(directory: &Path) -> Result<(Self, StoreContents), StoreError> {
        fs::create_dir_all(directory)?;
        let path = directory.join(FILE_NAME);
        if !path.try_exists()? {
            create_empty(&directory.join(NEW_FILE_NAME), &path)?;
        }
        let opened = Self::open_with(move || Builder::new().set_cache_size(CACHE_BYTES).open(&path))?;
        // Syncing the directory makes the file's name survive a power failure.
        File::open(directory)?.sync_all()?;
        Ok(opened)
    }

    /// As [`Store::open_in`], for records that can be fetched again from another process: a damaged file is renamed and
    /// replaced by an empty store.
    ///
    /// # Errors
    /// As [`Store::open_in`], except that a damaged file is no error.
    pub fn open_or_recreate(directory: &Path) -> Result<(Self, StoreContents), StoreError> {
        let error = match Self::open_in(directory) {
            Ok((store, found)) if found.has_valid_digest() => return Ok((store, found)),
            // Dropping the store closes the file before it is renamed.
            Ok(_) => StoreError::Damaged("a document does not match its digest".to_owned()),
            Err(error) if error.is_damage() => error,
            Err(error) => return Err(error),
        };
        log(format_args!(
            "the store is damaged, renaming it to {DAMAGED_FILE_NAME} and creating an empty one: {error}"
        ));
        fs::rename(directory.join(FILE_NAME), directory.join(DAMAGED_FILE_NAME))?;
        Self::open_in(directory)
    }

    /// Opens a store on the database that `open` returns. `open` is called again after each failure.
    ///
    /// # Errors
    /// As [`Store::open_in`].
    pub fn open_with(
        open: impl Fn() -> Result<Database, DatabaseError> + Send + 'static,
    ) -> Result<(Self, StoreContents), StoreError> {
        let mut store = Self { open: Box::new(open), database: None, indexes: BTreeSet::new() };
        let found = store.read()?;
        Ok((store, found))
    }

    /// The indexes of the records on disk.
    pub fn indexes(&self) -> impl Iterator<Item = u64> {
        self.indexes.iter().copied()
    }

    /// Writes records, deletes others, and stores `index` if it is given, in one synced transaction. If that fails, the
    /// file is read again to find out whether the records are on disk.
    pub fn write(&mut self, records: &[Record], delete: &[u64], index: Option<u64>) -> Outcome {
        let Err(error) = self.commit(records, delete, index) else { return Outcome::Written };
        // The file is opened and read again, because the failed handle may show data that did not reach the disk.
        self.database = None;
        match self.read() {
            Err(_) => Outcome::Unknown(error),
            Ok(_) if !records.iter().all(|record| self.indexes.contains(&record.index)) => {
                Outcome::NotWritten(error)
            }
            // After a failed sync the records can be readable but not yet on disk. If writing them again succeeds, they
            // are.
            Ok(_) => match self.commit(records, delete, index) {
                Ok(()) => Outcome::Written,
                Err(error) => {
                    self.database = None;
                    Outcome::Unknown(error)
                }
            },
        }
    }

    /// Commits a transaction; see [`Store::write`].
    fn commit(&mut self, records: &[Record], delete: &[u64], index: Option<u64>) -> Result<(), StoreError> {
        catch_panic(|| self.try_commit(records, delete, index))
    }

    /// Reads all records from disk.
    fn read(&mut self) -> Result<StoreContents, StoreError> {
        catch_panic(|| self.try_read())
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
            for &deleted in delete {
                table.remove(deleted)?;
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

    fn try_read(&mut self) -> Result<StoreContents, StoreError> {
        let transaction = self.database()?.begin_read()?;
        let is_missing = |error: &redb::TableError| matches!(error, redb::TableError::TableDoesNotExist(_));
        let mut found = StoreContents::default();
        match transaction.open_table(RECORDS) {
            Err(error) if is_missing(&error) => {}
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
            Err(error) if is_missing(&error) => {}
            table => found.index = table?.get("index")?.map_or(0, |index| index.value()),
        }
        self.indexes = found.records.iter().map(|record| record.index).collect();
        Ok(found)
    }

    /// Returns the database, opened if need be.
    fn database(&mut self) -> Result<&Database, StoreError> {
        if self.database.is_none() {
            self.database = Some((self.open)()?);
        }
        // The database is open at this point, so the error never occurs.
        self.database.as_ref().ok_or_else(|| StorageError::PreviousIo.into())
    }
}

/// Creates an empty store under the name `new` and renames it to `path` once it is synced. A file `new` that was left
/// by a process killed while it created the store is overwritten.
fn create_empty(new: &Path, path: &Path) -> Result<(), StoreError> {
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(new)?;
    // The backend locks the file until it has been renamed, so that only one of two processes creates the store.
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

/// Converts a panic into an error. redb checks some of the data it reads with assertions, and a damaged file must not
/// end a process that has other work to do.
fn catch_panic<T>(work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(work))
        .unwrap_or_else(|panic| Err(StoreError::Damaged(panic_message(&*panic).to_owned())))
}

/// Returns the message of a panic.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no reason told")
}
