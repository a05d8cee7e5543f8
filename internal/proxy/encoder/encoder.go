// Package encoder encodes configurations compactly for transfer between nodes: as a
// patch to a version that the requester holds, or whole and compressed. The package
// does no I/O and reads no clock.
//
// It is designed for relays whose link rate is low compared with the size of a
// configuration, and for several versions a second that each change little.
package encoder

import (
	"bytes"
	"compress/flate"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// maxVersions is the number of versions that a history keeps as bases of patches.
	maxVersions = 4
	// maxBytes is the maximum size of a decompressed configuration. A larger one is
	// truncated and so fails the check of its checksum.
	maxBytes = 64 << 20
)

// ChecksumError reports that a decoded configuration does not have the checksum that
// its message states. Want and Got are CRC-32 (IEEE) checksums.
type ChecksumError struct {
	Version int64
	Base    int64
	Want    uint32
	Got     uint32
}

func (e *ChecksumError) Error() string {
	return fmt.Sprintf("version %d decoded from base %d has checksum %08x instead of %08x", e.Version, e.Base, e.Got, e.Want)
}

type version struct {
	number int64
	data   []byte
}

// History holds the data of the newest versions, the latest one last. It is not safe for
// concurrent use; the owner guards it with a lock.
type History struct {
	versions []version
	// compressed is the compressed form of the latest version, created on first use.
	compressed []byte
}

// Add appends a version, which must be newer than all versions added before, and
// drops the oldest one if there are more than maxVersions.
func (h *History) Add(number int64, data []byte) {
	if len(h.versions) == maxVersions {
		h.versions = append(h.versions[:0], h.versions[1:]...)
	}
	h.versions = append(h.versions, version{number, data})
	h.compressed = nil
}

// Latest returns the number and the data of the newest version, or 0 and nil if the
// history is empty.
func (h *History) Latest() (int64, []byte) {
	if len(h.versions) == 0 {
		return 0, nil
	}
	latest := h.versions[len(h.versions)-1]
	return latest.number, latest.data
}

func (h *History) find(number int64) ([]byte, bool) {
	for _, v := range h.versions {
		if v.number == number {
			return v.data, true
		}
	}
	return nil, false
}

// Encode returns a message with the newest version for a requester that holds version
// have, or no version if have is 0. The message is a patch if the history contains have.
// Encode fails if the version can't be compressed.
func (h *History) Encode(have int64) (Message, error) {
	number, data := h.Latest()
	m := Message{Version: number, Checksum: crc32.ChecksumIEEE(data)}
	if base, known := h.find(have); known {
		m.Base, m.Steps = have, diff(base, data)
		return m, nil
	}
	if h.compressed == nil {
		compressed, err := compress(data)
		if err != nil {
			return Message{}, errors.Wrapf(err, "compress version %d", number)
		}
		h.compressed = compressed
	}
	m.Compressed = h.compressed
	return m, nil
}

// Decode returns the configuration that a message encodes. It fails if the history does
// not contain the base of a patch or if the message is malformed, and returns a
// ChecksumError if the result is not the configuration that was encoded.
func (h *History) Decode(m Message) ([]byte, error) {
	data, err := h.decode(m)
	if err != nil {
		return nil, err
	}
	if checksum := crc32.ChecksumIEEE(data); checksum != m.Checksum {
		return nil, &ChecksumError{Version: m.Version, Base: m.Base, Want: m.Checksum, Got: checksum}
	}
	return data, nil
}

func (h *History) decode(m Message) ([]byte, error) {
	if m.Compressed != nil {
		data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Compressed)), maxBytes))
		return data, errors.Wrapf(err, "decompress version %d", m.Version)
	}
	base, known := h.find(m.Base)
	if !known {
		return nil, errors.Newf("version %d is a patch to version %d, which is not in the history", m.Version, m.Base)
	}
	var data []byte
	for _, s := range m.Steps {
		if s.Length == 0 {
			data = append(data, s.Literal...)
			continue
		}
		if s.Offset < 0 || s.Length < 0 || s.Offset > len(base)-s.Length {
			return nil, errors.Newf("version %d is a patch with a range outside of version %d", m.Version, m.Base)
		}
		data = append(data, base[s.Offset:s.Offset+s.Length]...)
	}
	return data, nil
}

func compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return compressed.Bytes(), err
}

// delimiter ends the chunks in which configurations are compared. It ends an object in
// the JSON text that operators write.
const delimiter = '}'

// diff returns the steps that build data from base. It copies each chunk of data that is
// also a chunk of base, wherever that stands, and adds the others as literals.
func diff(base, data []byte) []Step {
	baseOffsets := map[string]int{}
	for offset := 0; offset < len(base); {
		length := chunkLength(base[offset:])
		baseOffsets[string(base[offset:offset+length])] = offset
		offset += length
	}
	var steps []Step
	for offset := 0; offset < len(data); {
		chunk := data[offset : offset+chunkLength(data[offset:])]
		offset += len(chunk)
		if last := len(steps) - 1; last >= 0 && steps[last].extendsWith(base, chunk) {
			steps[last].Length += len(chunk)
			continue
		}
		if baseOffset, known := baseOffsets[string(chunk)]; known {
			steps = append(steps, Step{Offset: baseOffset, Length: len(chunk)})
			continue
		}
		steps = appendLiteral(steps, chunk)
	}
	return steps
}

// chunkLength returns the length of the first chunk of text in bytes.
func chunkLength(text []byte) int {
	if end := bytes.IndexByte(text, delimiter); end >= 0 {
		return end + 1
	}
	return len(text)
}

// extendsWith reports whether s copies a range of the base that is directly followed by
// chunk.
func (s Step) extendsWith(base, chunk []byte) bool {
	return s.Length > 0 && bytes.HasPrefix(base[s.Offset+s.Length:], chunk)
}

// appendLiteral adds chunk to the last step if that is a literal, else to a new one.
func appendLiteral(steps []Step, chunk []byte) []Step {
	if last := len(steps) - 1; last >= 0 && steps[last].Length == 0 {
		steps[last].Literal = append(steps[last].Literal, chunk...)
		return steps
	}
	return append(steps, Step{Literal: append([]byte(nil), chunk...)})
}
