package descriptor

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Compact forms of messages. Package messenger sets them before it encodes a message, and sets
// the values that decisions use after it decoded one.

// MarkOf returns the mark of the backend server with an ID, by which messages name it. It is
// shorter than the ID, and unique for all practical purposes.
func MarkOf(id string) uint64 { return xxhash.Sum64String(id) }

// WithCapacity returns m with Capacity set from From.
func (m Hello) WithCapacity() Hello {
	m.Capacity = m.From.Capacity
	return m
}

// WithSenderCapacity returns m with the capacity of From set from Capacity.
func (m Hello) WithSenderCapacity() Hello {
	m.From.Capacity = max(0, m.Capacity)
	return m
}

// WithCapacities returns m with Capacities set from Records.
func (m Members) WithCapacities() Members {
	m.Capacities = capacitiesOf(m.Records)
	return m
}

// WithRecordCapacities returns m with the capacities of Records set from Capacities.
func (m Members) WithRecordCapacities() Members {
	m.Records, m.Capacities = withCapacities(m.Records, m.Capacities), nil
	return m
}

// WithNearCapacities returns m with NearCapacities set from Near.
func (m MemberChanges) WithNearCapacities() MemberChanges {
	m.NearCapacities = capacitiesOf(m.Near)
	return m
}

// WithRecordCapacities returns m with the capacities of Near set from NearCapacities.
func (m MemberChanges) WithRecordCapacities() MemberChanges {
	m.Near, m.NearCapacities = withCapacities(m.Near, m.NearCapacities), nil
	return m
}

// capacitiesOf returns the capacities of records, or nil if none is known.
func capacitiesOf(records []Member) []int32 {
	var capacities []int32
	for i, r := range records {
		if r.Capacity > 0 && capacities == nil {
			capacities = make([]int32, len(records))
		}
		if r.Capacity > 0 {
			capacities[i] = r.Capacity
		}
	}
	return capacities
}

// withCapacities returns records with their capacities, as far as there are some.
func withCapacities(records []Member, capacities []int32) []Member {
	result := slices.Clone(records)
	for i := range min(len(result), len(capacities)) {
		result[i].Capacity = max(0, capacities[i])
	}
	return result
}

// outcomeRow is the encoded form of BackendOutcomes, an array without field names.
type outcomeRow struct {
	_                  struct{} `cbor:",toarray"`
	Mark               uint64
	Before, Bad, After int
	Late               int
	// Work is one more than the reported work, or 0 without a report.
	Work, Age int
	Leaving   bool
}

// WithRows returns m with Rows set from List.
func (m Outcomes) WithRows() Outcomes {
	m.Rows = make([]outcomeRow, 0, len(m.List))
	for _, o := range m.List {
		r := outcomeRow{Mark: o.Mark, Before: o.Before, Bad: o.Bad, After: o.After, Late: o.Late, Age: o.Age, Leaving: o.Leaving}
		if o.Backend != "" {
			r.Mark = MarkOf(o.Backend)
		}
		if o.Reported {
			r.Work = o.Work + 1
		}
		m.Rows = append(m.Rows, r)
	}
	return m
}

// WithList returns m with List set from Rows.
func (m Outcomes) WithList() Outcomes {
	m.List = make([]BackendOutcomes, 0, len(m.Rows))
	for _, r := range m.Rows {
		m.List = append(m.List, BackendOutcomes{
			Mark: r.Mark, Before: r.Before, Bad: r.Bad, After: r.After, Late: r.Late,
			Reported: r.Work > 0, Work: max(0, r.Work-1), Age: r.Age, Leaving: r.Leaving,
		})
	}
	m.Rows = nil
	return m
}

// maxLevel is the level that stands for a probability of 1.
const maxLevel = 255

// WithMarks returns m with Marks and Levels set from List.
func (m SuspicionList) WithMarks() SuspicionList {
	m.Marks = make([]uint64, 0, len(m.List))
	m.Levels = make([]byte, 0, len(m.List))
	for _, s := range m.List {
		m.Marks = append(m.Marks, s.Mark)
		m.Levels = append(m.Levels, byte(min(1, max(0, s.Gray))*maxLevel))
	}
	return m
}

// WithList returns m with List set from Marks and Levels.
func (m SuspicionList) WithList() SuspicionList {
	m.List = make([]Suspicion, 0, len(m.Marks))
	for i, mark := range m.Marks {
		if i < len(m.Levels) {
			m.List = append(m.List, Suspicion{Mark: mark, Gray: float32(m.Levels[i]) / maxLevel})
		}
	}
	m.Marks, m.Levels = nil, nil
	return m
}
