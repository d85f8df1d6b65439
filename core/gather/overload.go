package gather

import (
	"cmp"
	"fmt"
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
)

const (
	// queuePart is the part of the objective that a request may wait for slots. One that would wait
	// longer is refused. Where the work alone takes more than slowPart of the objective, the answer is
	// late anyway, and the request may wait for latePart of the time that it has.
	queuePart = 0.25
	slowPart  = 0.5
	latePart  = 0.3
	// skipPart is the part of the objective after which a shard is not asked that the answer can do
	// without.
	skipPart = 1
	// secondPart is the part of the time after which a leg is late that a second one may wait.
	secondPart = 0.1
)

// outlook is how long a shard is expected to take: first wait for a slot, then work.
type outlook struct {
	shard      int
	wait, work clock.Milli
}

func (o outlook) whole() clock.Milli { return o.wait + o.work }

// refuseOverloaded refuses a request that would wait too long for slots at the last shard that its answer
// needs, before it is sent. It is for several times the load that the upstreams bear: without it queues
// grow until every answer is late.
func (q *Query) refuseOverloaded(now clock.Milli, outlooks []outlook) bool {
	last := outlooks[q.least()-1]
	longest := q.longestWait(now, last)
	if last.wait <= longest {
		return false
	}
	name := q.shards[last.shard].service.Name
	q.detail = fmt.Sprintf("%s would wait %.0f ms for a slot, at most %.0f", name, last.wait, longest)
	for i := range q.shards {
		q.shards[i].why = reason.Overload
	}
	q.finish(now)

	return true
}

// leaveOut gives up shards that would answer too late and that the answer can do without. It is for a few
// shards all of whose upstreams are slow: each of them then gets the requests that need it, not all.
func (q *Query) leaveOut(outlooks []outlook) {
	for _, o := range outlooks[q.least():] {
		if o.whole() > skipPart*q.route.Objective {
			q.giveUp(o.shard)
			q.unasked = append(q.unasked, o.shard)
		}
	}
}

// askRest asks shards that were left out when an answer cannot do without them, because others are gone.
func (q *Query) askRest(now clock.Milli) {
	for len(q.unasked) > 0 && q.hopeless() && now < q.end() {
		i := q.unasked[0]
		q.unasked = q.unasked[1:]
		q.shards[i].gone = false
		q.shards[i].why = ""
		q.waiting++
		q.try(now, i)
	}
}

// longestWait is how long a request may wait for a slot at a shard.
func (q *Query) longestWait(now clock.Milli, o outlook) clock.Milli {
	if o.work > slowPart*q.route.Objective {
		return latePart * (q.end() - now)
	}

	return queuePart * q.route.Objective
}

// outlooks returns how long the shards that have upstreams are expected to take, the shortest first.
func (q *Query) outlooks(now clock.Milli) []outlook {
	list := make([]outlook, 0, len(q.shards))
	for i := range q.shards {
		if !q.shards[i].gone {
			list = append(list, q.outlook(now, i))
		}
	}
	slices.SortFunc(list, func(a, b outlook) int { return cmp.Compare(a.whole(), b.whole()) })

	return list
}

// outlook takes the upstream of a shard that is expected to answer first.
func (q *Query) outlook(now clock.Milli, i int) outlook {
	best := outlook{shard: i, wait: never}
	for _, u := range q.view.Usable(q.shards[i].service.Name) {
		o := outlook{shard: i, wait: q.desk.fleet.Wait(now, u), work: q.desk.fleet.Work(now, u)}
		if o.whole() < best.whole() {
			best = o
		}
	}

	return best
}
