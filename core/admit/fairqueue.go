package admit

import "sort"

// queuedItem is a waiting item. Its tag is the round in which it is served.
type queuedItem struct {
	item Item
	tag  uint64
}

// fairQueue holds the waiting items of one priority in the order of start-time fair queueing (Goyal,
// Vin and Cheng): a flow's n-th waiting item is served n rounds after the round now served.
type fairQueue struct {
	items []queuedItem
	head  int
	round uint64
}

// maxRetainedCap is the capacity, in items, above which an empty queue releases its memory.
const maxRetainedCap = 4

func (n *fairQueue) len() int { return len(n.items) - n.head }

// position returns the tag for a new item and the number of items served before it.
func (n *fairQueue) position(flow uint64) (uint64, int) {
	tag := n.round
	for i := len(n.items) - 1; i >= n.head; i-- {
		if n.items[i].item.Flow == flow {
			tag = n.items[i].tag

			break
		}
	}
	tag++
	ahead := sort.Search(n.len(), func(i int) bool { return n.items[n.head+i].tag > tag })

	return tag, ahead
}

func (n *fairQueue) insert(w queuedItem, ahead int) {
	if n.head > 0 && len(n.items) == cap(n.items) {
		n.items = n.items[:copy(n.items, n.items[n.head:])]
		n.head = 0
	}
	n.items = append(n.items, w)
	at := n.head + ahead
	copy(n.items[at+1:], n.items[at:])
	n.items[at] = w
}

func (n *fairQueue) pop() Item {
	w := n.items[n.head]
	n.head++
	n.round = w.tag
	n.reset()

	return w.item
}

// popLast removes the item that would be served last.
func (n *fairQueue) popLast() Item {
	w := n.items[len(n.items)-1]
	n.items = n.items[:len(n.items)-1]
	n.reset()

	return w.item
}

func (n *fairQueue) remove(ticket uint64) bool {
	for i := n.head; i < len(n.items); i++ {
		if n.items[i].item.Ticket == ticket {
			n.items = append(n.items[:i], n.items[i+1:]...)
			n.reset()

			return true
		}
	}

	return false
}

// reset releases the memory of an empty queue.
func (n *fairQueue) reset() {
	if n.len() > 0 {
		return
	}
	n.head = 0
	n.items = n.items[:0]
	if cap(n.items) > maxRetainedCap {
		n.items = nil
	}
}
