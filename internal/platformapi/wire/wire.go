// Package wire defines the JSON messages of the platform's HTTP protocol, as docs/protocols.md describes it.
package wire

// Paths of the protocol. The name of the stream replaces the parameter.
const (
	// PathRecords is the path of appends to (POST) and reads of (GET) a stream.
	PathRecords = "/v1/streams/:stream/records"
	// PathInstances is the path of the list of instances.
	PathInstances = "/v1/instances"
)

// Query parameters of a read.
const (
	QueryFrom   = "from"    // offset of the first record
	QueryLimit  = "limit"   // maximum number of records
	QueryWaitMs = "wait_ms" // maximum time to wait for a record if there is none, in milliseconds
)

// RecordsPath returns the path of a stream's records.
func RecordsPath(stream string) string { return "/v1/streams/" + stream + "/records" }

// Append is the body of a request to append a record.
type Append struct {
	Writer   string `json:"writer"`
	Sequence uint64 `json:"sequence"`
	Payload  []byte `json:"payload"` // base64 in JSON
}

// Appended is the answer to an append.
type Appended struct {
	Offset uint64 `json:"offset"`
}

// Record is a record of a stream.
type Record struct {
	Offset   uint64 `json:"offset"`
	Writer   string `json:"writer"`
	Sequence uint64 `json:"sequence"`
	Payload  []byte `json:"payload"`
}

// Batch is the answer to a read. With status 410 it contains no records.
type Batch struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// Instance is an entry of the instance list, and the body of a registration.
type Instance struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
}

// Instances is the answer to a request for the list.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// Error is the body of every answer with a status of 400 or above, except 410.
type Error struct {
	Error string `json:"error"`
}
