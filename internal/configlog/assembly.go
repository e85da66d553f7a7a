package configlog

import "github.com/pollenpier/pollenpier/internal/entity"

// assemblies collects the chunks of checkpoints that several writers may append at the same time. The zero value is ready
// to use.
type assemblies struct{ list []assembly }

type assembly struct {
	writer  string
	version uint64
	at      entity.Offset
	count   int
	next    int
	data    []byte
}

// add applies the next chunk of a writer's checkpoint and returns the data when the checkpoint is complete. The chunks of
// a checkpoint must arrive in order, otherwise ok is false. A repeated chunk is ignored.
func (a *assemblies) add(writer string, c *Chunk) (data []byte, complete, ok bool) {
	i := a.find(writer, c)
	if i < 0 {
		if c.Index != 0 {
			return nil, false, false
		}
		i = a.begin(writer, c)
	}
	p := &a.list[i]
	if c.Index < p.next {
		return nil, false, true
	}
	if c.Index > p.next {
		return nil, false, false
	}
	p.data = append(p.data, c.Data...)
	p.next++
	if p.next < p.count {
		return nil, false, true
	}
	data = p.data
	a.list = append(a.list[:i], a.list[i+1:]...)
	return data, true, true
}

func (a *assemblies) find(writer string, c *Chunk) int {
	for i, p := range a.list {
		if p.writer == writer && p.version == c.Version && p.at == c.Next && p.count == c.Count {
			return i
		}
	}
	return -1
}

// begin starts a checkpoint and returns its index. It drops an unfinished checkpoint of the same writer, and the oldest
// checkpoint if there are too many.
func (a *assemblies) begin(writer string, c *Chunk) int {
	kept := a.list[:0]
	for _, p := range a.list {
		if p.writer != writer {
			kept = append(kept, p)
		}
	}
	if len(kept) == maxAssemblies {
		kept = kept[1:]
	}
	kept = append(kept, assembly{writer: writer, version: c.Version, at: c.Next, count: c.Count})
	a.list = kept
	return len(a.list) - 1
}
