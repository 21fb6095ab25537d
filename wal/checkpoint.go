package wal

// BeginCheckpoint begins a checkpoint: the records that AppendCheckpoint then adds
// restate everything before it. Other records may be appended and synced meanwhile; only
// one checkpoint may be under way. It fails as Append does.
func (l *Log) BeginCheckpoint() error {
	if err := l.put(typeCheckpointBegin, nil, 0); err != nil {
		return err
	}
	l.checkpointSequence, l.checkpointing = l.sequence, true
	return nil
}

// AppendCheckpoint adds records to the checkpoint.
func (l *Log) AppendCheckpoint(records [][]byte) error {
	for _, data := range records {
		if err := l.put(typeCheckpointData, data, 0); err != nil {
			return err
		}
	}
	return nil
}

// EndCheckpoint ends the checkpoint, syncs, and frees the segments before the one in
// which it began.
func (l *Log) EndCheckpoint() error {
	if err := l.put(typeCheckpointEnd, nil, 0); err != nil {
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
