package wal

// Begin begins a checkpoint: the records that Part then adds restate everything
// before it. Other records may be appended and synced meanwhile; one checkpoint
// at a time.
func (l *Log) BeginCheckpoint() error {
	if err := l.put(kindBegin, nil, 0); err != nil {
		return err
	}
	l.begun, l.under = l.gen, true
	return nil
}

// Part adds records to the checkpoint.
func (l *Log) AppendCheckpoint(records [][]byte) error {
	for _, data := range records {
		if err := l.put(kindCheckpoint, data, 0); err != nil {
			return err
		}
	}
	return nil
}

// End ends the checkpoint, syncs, and frees the files that came before it.
func (l *Log) EndCheckpoint() error {
	if err := l.put(kindEnd, nil, 0); err != nil {
		return err
	}
	if err := l.Sync(); err != nil {
		return err
	}
	l.keep, l.under = l.begun, false
	return nil
}

// Checkpoint writes a whole checkpoint in one go.
func (l *Log) Checkpoint(records [][]byte) error {
	if err := l.BeginCheckpoint(); err != nil {
		return err
	}
	if err := l.AppendCheckpoint(records); err != nil {
		return err
	}
	return l.EndCheckpoint()
}
