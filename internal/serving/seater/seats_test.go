package seater_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/serving/seater"
)

var now = time.Unix(1_700_000_000, 0)

// TestAssignmentFollowsMembershipChanges starts and ends members at random. It guards
// against a member with seats of two columns, a changed seat without the next term, a
// seat without a living holder although there are enough members, and an assignment
// that changes several seats of a row when applied again to the same members.
func TestAssignmentFollowsMembershipChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seats := seater.Seats{}
		alive := map[string]merger.Entry{}
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			id := fmt.Sprint("n", rapid.IntRange(0, 9).Draw(t, "id"))
			if _, found := alive[id]; found && rapid.Bool().Draw(t, "ends") {
				delete(alive, id)
			} else {
				alive[id] = merger.Entry{ID: id, Started: int64(step + 1)}
			}
			next := seater.Assign(seats, entries(alive))
			checkSeats(t, seats, next, alive)
			seats = next
		}
	})
}

func entries(alive map[string]merger.Entry) []merger.Entry {
	table := merger.New()
	for _, e := range alive {
		table.Merge(e, now)
	}
	return table.Entries()
}

func checkSeats(t *rapid.T, before, after seater.Seats, alive map[string]merger.Entry) {
	columnOf := map[string]int{}
	for shard, row := range after.Rows {
		for column, seat := range row {
			old := before.Rows[shard][column]
			valid := alive[seat.Node].Started == seat.Started && seat.Node != ""
			if c, found := columnOf[seat.Node]; valid && found && c != column {
				t.Fatalf("%s holds seats of columns %d and %d", seat.Node, c, column)
			}
			if valid {
				columnOf[seat.Node] = column
			}
			if seat != old && seat.Term != old.Term+1 {
				t.Fatalf("seat %d/%d changed without the next term", shard, column)
			}
			if !valid && len(alive) >= seater.Columns {
				t.Fatalf("seat %d/%d is %+v, whose holder is not among the %d living members", shard, column, seat, len(alive))
			}
		}
	}
	second := seater.Assign(after, entries(alive))
	for shard := range second.Rows {
		changed := 0
		for column := range second.Rows[shard] {
			if second.Rows[shard][column] != after.Rows[shard][column] {
				changed++
			}
		}
		if changed > 1 {
			t.Fatalf("row %d changes %d seats, but no member changed", shard, changed)
		}
	}
}
