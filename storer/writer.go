package storer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/catcher"
	"monsoonswitch/descriptor"
)

const (
	// writeWorkers is the number of concurrent writes.
	writeWorkers = 4
	// writeQueueLength is the number of writes that may be queued.
	writeQueueLength = 256
	// claimLease is the requested lease of the claim of an idempotency key.
	claimLease = 24 * time.Hour
)

// Writer carries out writes to the store in the background and posts their results.
// It is safe for use by many goroutines.
type Writer struct {
	client *Client
	poster Poster
	queue  chan descriptor.Action
	ctx    context.Context
	cancel context.CancelFunc
	// catcher reports panics in writing.
	catcher *catcher.Catcher
}

// NewWriter returns a writer and starts its workers. Panics in writing are reported to k.
func NewWriter(c *Client, p Poster, k *catcher.Catcher) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{
		client: c, poster: p, queue: make(chan descriptor.Action, writeQueueLength),
		ctx: ctx, cancel: cancel, catcher: k,
	}
	for range writeWorkers {
		go func() {
			for {
				select {
				case a := <-w.queue:
					if w.catcher.Run("write", func() { w.write(a) }) != nil {
						w.post(writeID(a), descriptor.Written{Result: descriptor.WriteUnknown})
					}
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	return w
}

// Close cancels all writes and stops the workers.
func (w *Writer) Close() { w.cancel() }

// Do queues a write. If the queue is full, the result WriteUnavailable is posted.
func (w *Writer) Do(a descriptor.Action) {
	select {
	case w.queue <- a:
	default:
		go w.post(writeID(a), descriptor.Written{Result: descriptor.WriteUnavailable})
	}
}

// writeID returns the identifier of a write, or 0 for other actions.
func writeID(a descriptor.Action) descriptor.WriteID {
	switch a := a.(type) {
	case descriptor.Write:
		return a.Write
	case descriptor.WriteTallies:
		return a.Write
	case descriptor.WriteClaim:
		return a.Write
	case descriptor.WriteRegister:
		return a.Write
	}
	return 0
}

func (w *Writer) post(id descriptor.WriteID, e descriptor.Written) {
	e.At = time.Now()
	e.Write = id
	w.poster.Post(e)
}

func (w *Writer) write(action descriptor.Action) {
	switch a := action.(type) {
	case descriptor.Write:
		w.post(a.Write, w.writeEjections(a))
	case descriptor.WriteTallies:
		w.post(a.Write, w.writeTallies(a))
	case descriptor.WriteClaim:
		w.post(a.Write, w.writeClaim(a))
	case descriptor.WriteRegister:
		w.post(a.Write, w.writeRegister(a))
	}
}

func (w *Writer) writeEjections(a descriptor.Write) descriptor.Written {
	key := EjectKey(a.Document.Name)
	item, err := w.put(key, a.Document.Ejections, a.Expect, 0)
	e := writtenEvent(item, err)
	if e.Result == descriptor.WriteConflict {
		if d, err := ParseDocument(item); err == nil {
			e.Current = d
		}
	}
	return e
}

func (w *Writer) writeTallies(a descriptor.WriteTallies) descriptor.Written {
	item, err := w.put(TallyKey(a.Service), a.Tallies, a.Expect, 0)
	e := writtenEvent(item, err)
	if e.Result == descriptor.WriteConflict {
		if err := json.Unmarshal(item.Value, &e.Tallies); err != nil {
			e.Result = descriptor.WriteUnavailable
		}
	}
	return e
}

// writeRegister writes the register. An unknown outcome is not read back: the watch of the writer shows it.
func (w *Writer) writeRegister(a descriptor.WriteRegister) descriptor.Written {
	data, err := json.Marshal(a.Register)
	if err != nil {
		return writtenEvent(Item{}, eris.Wrapf(ErrUnavailable, "%s: %v", registerKey, err))
	}
	return writtenEvent(w.client.Put(w.ctx, registerKey, data, a.Expect, 0))
}

// claim is the stored value of a claimed idempotency key.
type claim struct {
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
	Write       uint64 `json:"write"`
}

func (w *Writer) writeClaim(a descriptor.WriteClaim) descriptor.Written {
	value := claim{Instance: a.Instance, Incarnation: a.Incarnation, Write: uint64(a.Write)}
	item, err := w.put(claimKey(a.Service, a.Key), value, 0, claimLease)
	return writtenEvent(item, err)
}

// claimKey returns the store key of a claim. It contains a hash of the idempotency
// key, to bound its length and its set of characters.
func claimKey(service, key string) string {
	sum := sha256.Sum256([]byte(key))
	return claimPrefix + service + "/" + hex.EncodeToString(sum[:16])
}

func (w *Writer) put(key string, value any, expect uint64, lease time.Duration) (Item, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return Item{}, eris.Wrapf(ErrUnavailable, "%s: %v", key, err)
	}
	return w.client.PutVerified(w.ctx, key, data, expect, lease)
}

// writtenEvent returns the event for the result of a write.
func writtenEvent(item Item, err error) descriptor.Written {
	e := descriptor.Written{Revision: item.Stamp()}
	switch {
	case err == nil:
		e.Result = descriptor.WriteAccepted
	case errors.Is(err, ErrConflict):
		e.Result = descriptor.WriteConflict
	case errors.Is(err, ErrUnknown):
		e.Result = descriptor.WriteUnknown
	default:
		e.Result = descriptor.WriteUnavailable
	}
	return e
}
