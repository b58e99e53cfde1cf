//! The log: one live segment, appended to in groups, and replaced as a whole by a compaction.

use super::disk::Disk;
use super::error::LogError;
use super::record::{self, RecordKind, MAX_PAYLOAD_BYTES};
use super::segment::{
    draft_name, read_segment, segment_name, segment_number, SegmentContents, DRAFT_EXTENSION,
};

/// A log on a disk.
///
/// A record is durable once the [`DurableLog::sync`] after its [`DurableLog::append`] has succeeded. Once a write or a sync
/// has failed the log takes no more records: after a failed sync the system may count pages as written that never reached
/// the disk.
#[derive(Debug)]
pub struct DurableLog<D: Disk> {
    disk: D,
    /// The number of the live segment; 0 where there is none yet.
    segment: u64,
    /// The sequence number of the next record.
    next_sequence: u64,
    /// The bytes of the records that the next sync writes.
    unsynced: Vec<u8>,
    /// The live segment's length in bytes.
    size_bytes: u64,
    has_failed: bool,
}

/// A log that was opened, with the records that it holds.
#[derive(Debug)]
pub struct RecoveredLog<D: Disk> {
    /// The log, ready for appending.
    pub log: DurableLog<D>,
    /// The payloads of its records, oldest first.
    pub records: Vec<Vec<u8>>,
}

impl<D: Disk> DurableLog<D> {
    /// Opens the log and reads what it holds. A torn write at the end, which no sync had covered, is cut off; what a
    /// compaction left behind in a crash is removed.
    ///
    /// # Errors
    /// [`LogError::Corrupt`] where acknowledged records are damaged, [`LogError::UnsupportedFormat`], and
    /// [`LogError::Io`].
    pub fn open(disk: D) -> Result<RecoveredLog<D>, LogError> {
        let names = disk.names()?;
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
        let drafts = names
            .into_iter()
            .filter(|name| name.ends_with(DRAFT_EXTENSION));
        for leftover in old_segments.chain(drafts) {
            opened.log.disk.remove(&leftover)?;
        }
        Ok(opened)
    }

    /// Begins an empty log.
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

    /// Reads the live segment and cuts off a torn write at its end.
    fn open_segment(mut disk: D, segment: u64) -> Result<RecoveredLog<D>, LogError> {
        let file = segment_name(segment);
        let bytes = disk.read(&file)?;
        let SegmentContents {
            payloads,
            last_sequence,
            sound_bytes,
        } = read_segment(&file, &bytes)?;
        let size_bytes = sound_bytes as u64;
        if sound_bytes < bytes.len() {
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

    /// Adds a record to those that the next [`DurableLog::sync`] makes durable; returns its sequence number.
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

    /// Makes all appended records durable. They may be acknowledged only once this has succeeded.
    ///
    /// # Errors
    /// [`LogError::Io`] where the disk fails; from then on [`LogError::Failed`].
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

    /// Replaces all records of the log by these. They are durable as a whole before the old ones are removed, so that a
    /// crash leaves either the old or the new records.
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

    /// Writes a new segment with these records, makes it the live one and removes the one before it.
    fn start_segment(&mut self, payloads: &[Vec<u8>]) -> Result<(), LogError> {
        let bytes = self.encode_segment(payloads)?;
        let old_segment = self.segment;
        let new_segment = old_segment + 1;
        let draft = draft_name(new_segment);
        self.disk.create(&draft)?;
        self.disk.append(&draft, &bytes)?;
        self.disk.sync(&draft)?;
        self.disk.rename(&draft, &segment_name(new_segment))?;
        self.disk.sync_names()?;
        self.segment = new_segment;
        self.size_bytes = bytes.len() as u64;
        if old_segment > 0 {
            self.disk.remove(&segment_name(old_segment))?;
        }
        Ok(())
    }

    /// The bytes of a segment that begins with these records.
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
