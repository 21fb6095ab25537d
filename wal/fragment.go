package wal

import "fmt"

// minFragmentBytes is the least data of a fragment for which the rest of a segment is used.
const minFragmentBytes = 1024

// fragmentTypes are the types of the fragments of a record.
type fragmentTypes struct{ first, middle, last recordType }

var (
	dataFragments           = fragmentTypes{typeDataFirst, typeDataMiddle, typeDataLast}
	checkpointDataFragments = fragmentTypes{typeCheckpointDataFirst, typeCheckpointDataMiddle, typeCheckpointDataLast}
)

// fragmentsOf returns the types of the fragments of a data record or a checkpoint's data record.
func fragmentsOf(whole recordType) fragmentTypes {
	if whole == typeCheckpointData {
		return checkpointDataFragments
	}
	return dataFragments
}

// fragmentCapacity is how much data fits into a record at an offset of a segment.
func (l *Log) fragmentCapacity(offset int64) int {
	return int(max(0, (l.config.SegmentBytes-offset)&^(recordAlignment-1)-recordHeaderBytes))
}

// appendFragments writes a record that does not fit into one segment, as one fragment a segment. It
// writes nothing unless there is room for all of them. The record exists once its last fragment does.
func (l *Log) appendFragments(whole recordType, data []byte, reserved int) error {
	first, following := l.fragmentCapacity(l.offset), l.fragmentCapacity(headerBytes)
	if first < minFragmentBytes {
		first = 0
	}
	segments := (len(data) - first + following - 1) / following
	if usable := l.config.SegmentCount - reserved; len(data) > usable*following {
		return &FullError{
			Detail: fmt.Sprintf("a record of %d bytes does not fit into the %d files of %d bytes that records may fill", len(data), usable, l.config.SegmentBytes),
			Remedy: "raise ring_bytes (fixed under a deploy file), with an empty data folder",
		}
	}
	if err := l.checkFree(uint64(segments), reserved); err != nil {
		return err
	}
	types := fragmentsOf(whole)
	fragmentType := types.first
	if first > 0 {
		if err := l.writeRecord(fragmentType, data[:first]); err != nil {
			return err
		}
		data, fragmentType = data[first:], types.middle
	}
	for len(data) > 0 {
		if err := l.nextSegment(reserved); err != nil {
			return err
		}
		size := min(len(data), following)
		if size == len(data) {
			fragmentType = types.last
		}
		if err := l.writeRecord(fragmentType, data[:size]); err != nil {
			return err
		}
		data, fragmentType = data[size:], types.middle
	}
	return nil
}

// joinFragments replaces the fragments of each record by the record. Fragments without the last one were
// not synced, or belong to a record that begins before the records given; they are left out.
func joinFragments(records []record) []record {
	var joined []record
	var partial *record
	for _, rec := range records {
		switch rec.recordType {
		case typeDataFirst:
			partial = &record{typeData, rec.sequence, rec.synced, rec.data}
		case typeCheckpointDataFirst:
			partial = &record{typeCheckpointData, rec.sequence, rec.synced, rec.data}
		case typeDataMiddle, typeCheckpointDataMiddle, typeDataLast, typeCheckpointDataLast:
			if partial == nil {
				continue
			}
			partial.data = append(partial.data, rec.data...)
			if rec.recordType == fragmentsOf(partial.recordType).last {
				joined, partial = append(joined, *partial), nil
			}
		default:
			joined, partial = append(joined, rec), nil
		}
	}
	return joined
}
