//! The log: appends records to the live segment in groups and replaces the segment in a compaction.

use super::disk::Disk;
use super::error::LogError;
use super::record::{self, RecordKind, MAX_PAYLOAD_BYTES};
use super::segment::{
    read_segment, segment_name, segment_number, temporary_name, SegmentContents,
    TEMPORARY_EXTENSION,
};

/// A log on a disk.
///
/// A record is durable once the [`DurableLog::sync`] after its [`DurableLog::append`] has succeeded. The log accepts no
/// more records after a failed write or sync: after a failed sync the kernel may mark pages as clean that never reached
/// the disk.
#[derive(Debug)]
pub struct DurableLog<D: Disk> {
    disk: D,
    /// The number of the live segment; 0 if there is none yet.
    segment: u64,
    /// The sequence number of the next record.
    next_sequence: u64,
    /// Encoded records that the next sync writes.
    unsynced: Vec<u8>,
    /// The live segment's length in bytes.
    size_bytes: u64,
    has_failed: bool,
}

/// An opened log with its records.
#[derive(Debug)]
pub struct RecoveredLog<D: Disk> {
    /// The log, ready for appending.
    pub log: DurableLog<D>,
    /// The payloads of the records, oldest first.
    pub records: Vec<Vec<u8>>,
}

impl<D: Disk> DurableLog<D> {
    /// Opens the log and reads its records, or creates it if there is none. Truncates an unsynced torn write at the end
    /// and removes the files that an interrupted compaction left behind.
    ///
    /// # Errors
    /// [`LogError::Corrupt`] if acknowledged records are damaged, [`LogError::UnsupportedFormat`], and
    /// [`LogError::Io`].
    pub fn open(disk: D) -> Result<RecoveredLog<D>, LogError> {
        let names = disk.file_names()?;
        let mut segments: Vec<u64> = names
            .iter()
            .filter_map(|name| segment_number(name))
            .collect();
        segments.sort_unstable();
        let Some(live_segment) = segments.pop() else {
            return DurableLog::create(disk);
        };
        let mut opened = DurableLog::open_segment(disk, live_segment)?;
        let old_segments = segments.into_iter().map(segment_name);
        let temporary_files = names
            .into_iter()
            .filter(|name| name.ends_with(TEMPORARY_EXTENSION));
        for leftover in old_segments.chain(temporary_files) {
            opened.log.disk.remove(&leftover)?;
        }
        Ok(opened)
    }

    /// Creates an empty log.
    fn create(disk: D) -> Result<RecoveredLog<D>, LogError> {
        let mut log = DurableLog {
            disk,
            segment: 0,
            next_sequence: 1,
            unsynced: Vec::new(),
            size_bytes: 0,
            has_failed: false,
        };
        log.start_segment(&[])?;
        Ok(RecoveredLog {
            log,
            records: Vec::new(),
        })
    }

    /// Reads the live segment and truncates a torn write at its end.
    fn open_segment(mut disk: D, segment: u64) -> Result<RecoveredLog<D>, LogError> {
        let file = segment_name(segment);
        let bytes = disk.read(&file)?;
        let SegmentContents {
            payloads,
            last_sequence,
            valid_bytes,
        } = read_segment(&file, &bytes)?;
        let size_bytes = valid_bytes as u64;
        if valid_bytes < bytes.len() {
            disk.truncate(&file, size_bytes)?;
            disk.sync(&file)?;
        }
        let log = DurableLog {
            disk,
            segment,
            next_sequence: last_sequence + 1,
            unsynced: Vec::new(),
            size_bytes,
            has_failed: false,
        };
        Ok(RecoveredLog {
            log,
            records: payloads,
        })
    }

    /// Buffers a record, which the next [`DurableLog::sync`] makes durable, and returns its sequence number.
    ///
    /// # Errors
    /// [`LogError::RecordTooLong`] and [`LogError::Failed`].
    pub fn append(&mut self, payload: &[u8]) -> Result<u64, LogError> {
        if self.has_failed {
            return Err(LogError::Failed);
        }
        check_payload_length(payload)?;
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        record::encode(&mut self.unsynced, sequence, RecordKind::Appended, payload);
        Ok(sequence)
    }

    /// Makes all appended records durable. The caller must not acknowledge them before this succeeds.
    ///
    /// # Errors
    /// [`LogError::Io`] if the disk fails, and [`LogError::Failed`] on all later calls.
    pub fn sync(&mut self) -> Result<(), LogError> {
        if self.has_failed {
            return Err(LogError::Failed);
        }
        if self.unsynced.is_empty() {
            return Ok(());
        }
        let file = segment_name(self.segment);
        let written = self
            .disk
            .append(&file, &self.unsynced)
            .and_then(|()| self.disk.sync(&file));
        self.has_failed = written.is_err();
        written?;
        self.size_bytes += self.unsynced.len() as u64;
        self.unsynced.clear();
        Ok(())
    }

    /// Replaces all records of the log. The new records are durable before the old ones are removed, so a crash leaves
    /// either all old or all new records.
    ///
    /// # Errors
    /// As [`DurableLog::sync`], and [`LogError::RecordTooLong`].
    pub fn replace(&mut self, payloads: &[Vec<u8>]) -> Result<(), LogError> {
        self.sync()?;
        let replaced = self.start_segment(payloads);
        self.has_failed = replaced.is_err();
        replaced
    }

    /// The live segment's length in bytes.
    pub fn size_bytes(&self) -> u64 {
        self.size_bytes
    }

    /// Writes a new segment with these records, makes it live and removes the previous segment.
    fn start_segment(&mut self, payloads: &[Vec<u8>]) -> Result<(), LogError> {
        let bytes = self.encode_segment(payloads)?;
        let old_segment = self.segment;
        let new_segment = old_segment + 1;
        let temporary_file = temporary_name(new_segment);
        self.disk.create(&temporary_file)?;
        self.disk.append(&temporary_file, &bytes)?;
        self.disk.sync(&temporary_file)?;
        self.disk
            .rename(&temporary_file, &segment_name(new_segment))?;
        self.disk.sync_names()?;
        self.segment = new_segment;
        self.size_bytes = bytes.len() as u64;
        if old_segment > 0 {
            self.disk.remove(&segment_name(old_segment))?;
        }
        Ok(())
    }

    /// Encodes the segment that a compaction writes: a header, these records, and a record that ends the compaction.
    fn encode_segment(&mut self, payloads: &[Vec<u8>]) -> Result<Vec<u8>, LogError> {
        let mut bytes = record::header().to_vec();
        for payload in payloads {
            check_payload_length(payload)?;
            record::encode(
                &mut bytes,
                self.next_sequence,
                RecordKind::Compacted,
                payload,
            );
            self.next_sequence += 1;
        }
        record::encode(
            &mut bytes,
            self.next_sequence,
            RecordKind::CompactionEnd,
            &[],
        );
        self.next_sequence += 1;
        Ok(bytes)
    }
}

fn check_payload_length(payload: &[u8]) -> Result<(), LogError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(LogError::RecordTooLong {
            bytes: payload.len(),
        });
    }
    Ok(())
}
