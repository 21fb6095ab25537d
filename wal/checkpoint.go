package wal

// BeginCheckpoint begins a checkpoint: the records that AppendCheckpoint then adds must
// contain the state of all records before it. Other records may be appended and synced in
// the meantime; only one checkpoint may be in progress. It returns the same errors as Append.
func (l *Log) BeginCheckpoint() error {
	if err := l.appendRecord(typeCheckpointBegin, nil, 0); err != nil {
		return err
	}
	l.checkpointSequence, l.checkpointing = l.sequence, true
	return nil
}

// AppendCheckpoint adds records to the checkpoint.
func (l *Log) AppendCheckpoint(records [][]byte) error {
	for _, data := range records {
		if err := l.appendRecord(typeCheckpointData, data, 0); err != nil {
			return err
		}
	}
	return nil
}

// EndCheckpoint completes the checkpoint, syncs, and frees the segments before the one in
// which the checkpoint begins.
func (l *Log) EndCheckpoint() error {
	if err := l.appendRecord(typeCheckpointEnd, nil, 0); err != nil {
		return err
	}
	if err := l.Sync(); err != nil {
		return err
	}
	l.oldestNeeded, l.checkpointing = l.checkpointSequence, false
	return nil
}

// Checkpoint writes and syncs a complete checkpoint.
func (l *Log) Checkpoint(records [][]byte) error {
	if err := l.BeginCheckpoint(); err != nil {
		return err
	}
	if err := l.AppendCheckpoint(records); err != nil {
		return err
	}
	return l.EndCheckpoint()
}
