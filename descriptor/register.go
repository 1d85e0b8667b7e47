package descriptor

import "slices"

// Register lists the instances among which the limits of the fleet are divided. It is kept in the
// platform's store. An instance is named by its mark; see RegisterMark. No mark is in two of the lists,
// and each list is sorted.
type Register struct {
	// Version grows with each write. It is 0 only where no register is known.
	Version uint64 `json:"version"`
	// Period is the number of the present period. An owner that is not known to live for a whole
	// period and the rest of the one before it is removed.
	Period uint64 `json:"period"`
	// Recent holds the owners of a share that were known to live in this period, and Earlier those
	// that were in the one before.
	Recent  []uint32 `json:"recent"`
	Earlier []uint32 `json:"earlier"`
	// Waiting holds instances that limits are divided among although they own no share: they are about to
	// own one, or left. Instances in Joining are not counted yet.
	Waiting []uint32 `json:"waiting"`
	Joining []uint32 `json:"joining"`
}

// RegisterMark returns the mark that stands for an instance in a register. That two of the 7,100 instances
// of a large fleet have the same one happens in one fleet of 170; one of them is not counted then.
func RegisterMark(id string) uint32 { return uint32(MarkOf(id)) }

// maxRegistered bounds the marks in a register, which is stored as one value of at most 1 MiB.
const maxRegistered = 1 << 16

// Valid reports whether the invariants of a register hold.
func (r Register) Valid() bool {
	all := slices.Concat(r.Recent, r.Earlier, r.Waiting, r.Joining)
	slices.Sort(all)
	distinct := len(slices.Compact(all)) == len(r.Recent)+len(r.Earlier)+len(r.Waiting)+len(r.Joining)
	isSorted := slices.IsSorted(r.Recent) && slices.IsSorted(r.Earlier) && slices.IsSorted(r.Waiting) && slices.IsSorted(r.Joining)
	return r.Version > 0 && distinct && isSorted && len(all) <= maxRegistered
}

// Shares returns the number of shares into which limits are divided.
func (r Register) Shares() int { return len(r.Recent) + len(r.Earlier) + len(r.Waiting) }

// Owners returns the number of instances that own a share.
func (r Register) Owners() int { return len(r.Recent) + len(r.Earlier) }

// Owns reports whether an instance owns a share.
func (r Register) Owns(mark uint32) bool {
	return contains(r.Recent, mark) || contains(r.Earlier, mark)
}

// IsRecent reports whether an instance owns a share and was known to live in the present period.
func (r Register) IsRecent(mark uint32) bool { return contains(r.Recent, mark) }

// Lists reports whether an instance is in any of the lists.
func (r Register) Lists(mark uint32) bool {
	return r.Owns(mark) || contains(r.Waiting, mark) || contains(r.Joining, mark)
}

// All yields all marks.
func (r Register) All(yield func(uint32) bool) {
	for _, list := range [][]uint32{r.Recent, r.Earlier, r.Waiting, r.Joining} {
		for _, mark := range list {
			if !yield(mark) {
				return
			}
		}
	}
}

// Equal reports whether two registers hold the same lists of the same period.
func (r Register) Equal(o Register) bool {
	return r.Period == o.Period && slices.Equal(r.Recent, o.Recent) && slices.Equal(r.Earlier, o.Earlier) &&
		slices.Equal(r.Waiting, o.Waiting) && slices.Equal(r.Joining, o.Joining)
}

// WithVersion returns r with a version.
func (r Register) WithVersion(version uint64) Register {
	r.Version = version
	return r
}

// WithOwners returns r with the given instances as owners that live.
func (r Register) WithOwners(marks []uint32) Register {
	r.Recent = union(r.Recent, marks)
	return r
}

// WithSeen returns r after owners were found to live.
func (r Register) WithSeen(lives func(uint32) bool) Register {
	r.Recent, r.Earlier = union(r.Recent, filter(r.Earlier, lives)), filter(r.Earlier, not(lives))
	return r
}

// WithJoining returns r with instances that are not listed yet.
func (r Register) WithJoining(marks []uint32) Register {
	r.Joining = union(r.Joining, marks)
	return r
}

// WithWaiting returns r with some of the joining instances among those that are counted.
func (r Register) WithWaiting(some func(uint32) bool) Register {
	r.Waiting, r.Joining = union(r.Waiting, filter(r.Joining, some)), filter(r.Joining, not(some))
	return r
}

// WithPromoted returns r with some of the waiting instances among the owners.
func (r Register) WithPromoted(some func(uint32) bool) Register {
	r.Recent, r.Waiting = union(r.Recent, filter(r.Waiting, some)), filter(r.Waiting, not(some))
	return r
}

// WithDemoted returns r with some of the owners among those that are only counted, and without them where they
// are not counted yet.
func (r Register) WithDemoted(some func(uint32) bool) Register {
	kept := not(some)
	r.Waiting = union(r.Waiting, append(filter(r.Recent, some), filter(r.Earlier, some)...))
	r.Recent, r.Earlier, r.Joining = filter(r.Recent, kept), filter(r.Earlier, kept), filter(r.Joining, kept)
	return r
}

// Without returns r without some of the instances that own no share.
func (r Register) Without(some func(uint32) bool) Register {
	kept := not(some)
	r.Waiting, r.Joining = filter(r.Waiting, kept), filter(r.Joining, kept)
	return r
}

// WithNextPeriod returns r at the start of the next period. Owners of the period before that are not
// known to live are removed.
func (r Register) WithNextPeriod(lives func(uint32) bool) Register {
	r.Period++
	counted := union(r.Recent, r.Waiting)
	r.Recent, r.Earlier = union(filter(counted, lives), filter(r.Earlier, lives)), filter(counted, not(lives))
	r.Waiting, r.Joining = filter(r.Joining, lives), nil
	return r
}

// RegisterReport carries the register that the sender holds, or asks for the one of the receiver.
type RegisterReport struct {
	// Asks is set if the sender asks. The register is left out then.
	Asks     bool `cbor:",omitempty"`
	Register Register
	// Age is the time in milliseconds since the store held this register, when the sender composed
	// the message.
	Age int64 `cbor:",omitempty"`
}

// Type implements Message.
func (RegisterReport) Type() MessageType { return TypeRegisterReport }

// RegisterDump is what an instance knows of the register.
type RegisterDump struct {
	Version, Period uint64
	// Owners, Waiting and Joining are the lengths of the lists, and Missing is the number of listed
	// instances that this one does not hear of.
	Owners, Waiting, Joining, Missing int
	// Owner reports whether this instance may use a share.
	Owner bool
}

func contains(list []uint32, mark uint32) bool {
	_, ok := slices.BinarySearch(list, mark)
	return ok
}

func union(a, b []uint32) []uint32 {
	if len(b) == 0 {
		return a
	}
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

func filter(list []uint32, keep func(uint32) bool) []uint32 {
	var result []uint32
	for _, mark := range list {
		if keep(mark) {
			result = append(result, mark)
		}
	}
	return result
}

func not(some func(uint32) bool) func(uint32) bool {
	return func(mark uint32) bool { return !some(mark) }
}
