package event

import (
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Record is a logged event in the form that the operators' API returns.
type Record struct {
	// Sequence is the number of the event in its ring: it starts at 1 and increases by
	// one with each event.
	Sequence uint64            `json:"sequence"`
	Time     time.Time         `json:"time"`
	Event    int               `json:"event"`
	Level    string            `json:"level"`
	Message  string            `json:"message"`
	Fields   map[string]string `json:"fields"`
}

// Ring is a ring buffer of the latest events of a node. It is a logrus.Hook and safe for
// concurrent use.
type Ring struct {
	mu           sync.Mutex
	records      []Record
	lastSequence uint64
}

// NewRing returns a ring buffer for the given number of events.
func NewRing(size int) *Ring {
	return &Ring{records: make([]Record, size)}
}

// Levels implements logrus.Hook. Debug events are not retained: there is one for each
// request, so they would evict all other events.
func (r *Ring) Levels() []logrus.Level {
	return []logrus.Level{logrus.PanicLevel, logrus.FatalLevel, logrus.ErrorLevel, logrus.WarnLevel, logrus.InfoLevel}
}

// Fire implements logrus.Hook. It ignores log entries without an event number.
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

// Since returns the retained events with a sequence number above the given one, oldest
// first.
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
