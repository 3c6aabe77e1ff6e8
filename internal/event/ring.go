package event

import (
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Record is one logged event as operators read it.
type Record struct {
	// Sequence grows by one with each event of a process; it starts at 1.
	Sequence uint64            `json:"sequence"`
	Time     time.Time         `json:"time"`
	Event    int               `json:"event"`
	Level    string            `json:"level"`
	Message  string            `json:"message"`
	Fields   map[string]string `json:"fields"`
}

// Ring keeps the latest events of a node in memory. It is a logrus.Hook and safe
// for concurrent use.
type Ring struct {
	mu           sync.Mutex
	records      []Record
	lastSequence uint64
}

// NewRing returns a ring that keeps the given number of events.
func NewRing(size int) *Ring {
	return &Ring{records: make([]Record, size)}
}

// Levels implements logrus.Hook. Debug events are not kept: one a request would
// push all others out.
func (r *Ring) Levels() []logrus.Level {
	return []logrus.Level{logrus.PanicLevel, logrus.FatalLevel, logrus.ErrorLevel, logrus.WarnLevel, logrus.InfoLevel}
}

// Fire implements logrus.Hook. Lines without an event number are not kept.
func (r *Ring) Fire(entry *logrus.Entry) error {
	number, ok := entry.Data[Field].(int)
	if !ok {
		return nil
	}
	fields := make(map[string]string, len(entry.Data))
	for key, value := range entry.Data {
		if key != Field {
			fields[key] = fmt.Sprint(value)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSequence++
	r.records[r.lastSequence%uint64(len(r.records))] = Record{
		Sequence: r.lastSequence, Time: entry.Time, Event: number, Level: entry.Level.String(), Message: entry.Message, Fields: fields,
	}
	return nil
}

// Since returns the kept events with a sequence number above the given one, the
// oldest first.
func (r *Ring) Since(sequence uint64) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.records))
	first := sequence + 1
	if r.lastSequence >= size {
		first = max(first, r.lastSequence-size+1)
	}
	list := []Record{}
	for s := first; s <= r.lastSequence; s++ {
		list = append(list, r.records[s%size])
	}
	return list
}
