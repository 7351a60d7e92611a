//! Divides the memory limit of the configuration between the uses that peers decide on. Only arithmetic: nothing is
//! allocated or counted here.

/// Bytes of a megabyte of the memory limit, in the smaller of its two meanings.
const BYTES_PER_MB: usize = 1_000_000;
/// Resident memory of a process without connections, with lists of endpoints and the state of the decisions.
const BASE_BYTES: usize = 4 << 20;
/// Memory of a connection that holds no HTTP buffers.
const IDLE_CONNECTION_BYTES: usize = 4 << 10;
/// Memory that the HTTP buffers of a connection and a small request or answer on it take in addition.
const BUFFERED_CONNECTION_BYTES: usize = 20 << 10;
/// Part of the memory for connections, in eighths; the rest is for bodies and bytes read ahead.
const CONNECTION_EIGHTHS: usize = 5;
/// Part of the memory for bodies that is divided between them, in eighths; the rest is lost between the blocks of the
/// allocator.
const USABLE_EIGHTHS: usize = 6;
/// Part of the bytes for bodies that requests, answers and bytes read ahead get, in eighths.
const REQUEST_EIGHTHS: usize = 4;
const ANSWER_EIGHTHS: usize = 3;
const READ_AHEAD_EIGHTHS: usize = 1;
/// Least number of connections that may have HTTP buffers, and least budget in bytes, however low the limit is.
const MIN_BUFFERED_CONNECTIONS: usize = 32;
const MIN_BUDGET_BYTES: usize = 128 << 10;
/// Most bytes that are read ahead on all connections together, whatever the limit.
const READ_AHEAD_MAX_BYTES: usize = 8 << 20;

/// How much each use of memory may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Memory limit of the configuration in MB, if it has one.
    pub limit_mb: Option<usize>,
    /// Number of connections that may have HTTP buffers at the same time.
    pub buffered_connections: usize,
    /// Bytes for bodies of requests.
    pub request_bytes: usize,
    /// Bytes for bodies of answers.
    pub answer_bytes: usize,
    /// Bytes for what is read before it is needed and for heads.
    pub read_ahead_bytes: usize,
}

impl MemoryPlan {
    /// Divides a memory limit in MB for a process with this many sockets. Without a limit, only the bytes that are read
    /// ahead are limited.
    #[must_use]
    pub fn new(limit_mb: Option<usize>, sockets: usize) -> Self {
        let Some(megabytes) = limit_mb else { return Self::unlimited() };
        let fixed = BASE_BYTES + sockets * IDLE_CONNECTION_BYTES;
        let available = (megabytes * BYTES_PER_MB).saturating_sub(fixed);
        let connections = (available / 8 * CONNECTION_EIGHTHS / BUFFERED_CONNECTION_BYTES)
            .clamp(MIN_BUFFERED_CONNECTIONS, sockets.max(MIN_BUFFERED_CONNECTIONS));
        let bodies = available.saturating_sub(connections * BUFFERED_CONNECTION_BYTES) / 8 * USABLE_EIGHTHS;
        Self {
            limit_mb,
            buffered_connections: connections,
            request_bytes: (bodies / 8 * REQUEST_EIGHTHS).max(MIN_BUDGET_BYTES),
            answer_bytes: (bodies / 8 * ANSWER_EIGHTHS).max(MIN_BUDGET_BYTES),
            read_ahead_bytes: (bodies / 8 * READ_AHEAD_EIGHTHS).clamp(MIN_BUDGET_BYTES, READ_AHEAD_MAX_BYTES),
        }
    }

    fn unlimited() -> Self {
        Self {
            limit_mb: None,
            buffered_connections: usize::MAX,
            request_bytes: usize::MAX,
            answer_bytes: usize::MAX,
            read_ahead_bytes: READ_AHEAD_MAX_BYTES,
        }
    }

    /// Number of client connections that may have HTTP buffers. The rest is left to connections to upstreams, without
    /// which no request in progress could end.
    #[must_use]
    pub fn buffered_clients(&self) -> usize {
        self.buffered_connections / 3 * 2
    }
}
