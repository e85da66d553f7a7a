package platform

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/pollenpier/pollenpier/internal/platformapi/wire"
)

// maxRecords is the largest number of records in one answer.
const maxRecords = 1000

// stream is one stream of the log.
type stream struct {
	first    uint64 // offset of records[0]
	records  []wire.Record
	times    []time.Time   // of the appends
	appended chan struct{} // closed and replaced at each append, which wakes the waiting readers
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) add(a wire.Append) uint64 {
	offset := s.next()
	s.records = append(s.records, wire.Record{
		Offset: offset, Writer: a.Writer, Sequence: a.Sequence, Payload: a.Payload,
	})
	s.times = append(s.times, time.Now())
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// truncate drops the records that exceed the retention.
func (s *stream) truncate(o Options, now time.Time) {
	drop := 0
	if o.KeepCount > 0 {
		drop = max(0, len(s.records)-o.KeepCount)
	}
	for o.KeepAge > 0 && drop < len(s.times) && now.Sub(s.times[drop]) > o.KeepAge {
		drop++
	}
	if drop == 0 {
		return
	}
	s.records = slices.Clone(s.records[drop:])
	s.times = slices.Clone(s.times[drop:])
	s.first += uint64(drop)
}

// stream returns the stream with the given name and creates it if necessary. The caller holds the lock.
func (s *Server) stream(name string) *stream {
	found, ok := s.streams[name]
	if !ok {
		found = &stream{appended: make(chan struct{})}
		s.streams[name] = found
	}
	found.truncate(s.options, time.Now())
	return found
}

func (s *Server) postRecord(c *gin.Context) {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxAppendBytes)
	var a wire.Append
	if err := c.ShouldBindJSON(&a); err != nil {
		refuse(c, http.StatusBadRequest, err.Error())
		return
	}
	if a.Writer == "" {
		refuse(c, http.StatusBadRequest, "writer is missing")
		return
	}
	offset, lost := s.add(c.Param("stream"), a)
	if lost {
		panic(http.ErrAbortHandler) // net/http closes the connection without an answer
	}
	c.JSON(http.StatusOK, wire.Appended{Offset: offset})
}

// add appends a record, returns its offset, and reports whether its answer must be lost.
func (s *Server) add(name string, a wire.Append) (offset uint64, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = s.faults.LoseAnswers != 0
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	found := s.stream(name)
	offset = found.add(a)
	found.truncate(s.options, time.Now())
	return offset, lost
}

func (s *Server) getRecords(c *gin.Context) {
	from, err := strconv.ParseUint(c.DefaultQuery(wire.QueryFrom, "0"), 10, 64)
	if err != nil {
		refuse(c, http.StatusBadRequest, "from is not an offset")
		return
	}
	limit, err := strconv.Atoi(c.DefaultQuery(wire.QueryLimit, "100"))
	if err != nil || limit < 1 {
		refuse(c, http.StatusBadRequest, "limit is not a positive number")
		return
	}
	waitMs, err := strconv.Atoi(c.DefaultQuery(wire.QueryWaitMs, "0"))
	if err != nil || waitMs < 0 {
		refuse(c, http.StatusBadRequest, "wait_ms is not a number of milliseconds")
		return
	}
	s.answerRead(c, from, min(limit, maxRecords), min(time.Duration(waitMs)*time.Millisecond, maxWait))
}

// answerRead answers a read as soon as there is a record or the wait time has passed.
func (s *Server) answerRead(c *gin.Context, from uint64, limit int, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := wait <= 0; ; {
		batch, appended := s.read(c.Param("stream"), from, limit)
		switch {
		case from < batch.First:
			c.JSON(http.StatusGone, batch)
			return
		case len(batch.Records) > 0 || expired:
			c.JSON(http.StatusOK, batch)
			return
		}
		select {
		case <-appended:
			if s.applyFaults(c); c.IsAborted() {
				return
			}
		case <-timer.C:
			expired = true
		case <-c.Request.Context().Done():
			return
		}
	}
}

func (s *Server) read(name string, from uint64, limit int) (wire.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.stream(name)
	batch := wire.Batch{First: found.first, Next: found.next(), Records: []wire.Record{}}
	if from < found.first || from >= found.next() {
		return batch, found.appended
	}
	start := int(from - found.first)
	end := min(start+limit, len(found.records))
	batch.Records = slices.Clone(found.records[start:end])
	return batch, found.appended
}
