package dispatch

// customerQueue is the FIFO of one customer in a lane and its place in the lane's round.
type customerQueue struct {
	customer   string
	weight     float64
	deficit    float64
	head, tail *call
	prev, next *customerQueue // ring of the lane's customers with queued calls
}

// lane holds the queued calls of a class for one version constraint. Customers share it by deficit round robin; each
// call costs 1. Versions are chosen by a hash of the request ID, so a fair share of each lane is a fair share of all.
type lane struct {
	version   string
	n         int
	customers map[string]*customerQueue
	turn      *customerQueue
}

func (l *lane) push(p *Pool, c *call) {
	q := l.customers[c.req.Customer]
	if q == nil {
		q = p.newCustomerQueue(c.req.Customer)
		l.customers[c.req.Customer] = q
		l.join(q)
	}
	c.lane, c.queue = l, q
	c.older, c.newer = q.tail, nil
	if q.tail != nil {
		q.tail.newer = c
	} else {
		q.head = c
	}
	q.tail = c
	l.n++
}

// join adds a customer at the end of the round.
func (l *lane) join(q *customerQueue) {
	if l.turn == nil {
		q.prev, q.next = q, q
		l.turn = q
		return
	}
	q.prev, q.next = l.turn.prev, l.turn
	q.prev.next, q.next.prev = q, q
}

func (l *lane) remove(p *Pool, c *call) {
	q := c.queue
	c.unlink(&q.head, &q.tail)
	c.lane, c.queue = nil, nil
	l.n--
	if q.head == nil {
		l.drop(p, q)
	}
}

// drop removes a customer without queued calls; its deficit is forgotten, so that idle customers collect no credit.
func (l *lane) drop(p *Pool, q *customerQueue) {
	delete(l.customers, q.customer)
	if q.next == q {
		l.turn = nil
	} else {
		q.prev.next, q.next.prev = q.next, q.prev
		if l.turn == q {
			l.turn = q.next
		}
	}
	*q = customerQueue{next: p.spareQueues}
	p.spareQueues = q
}

// peek returns the call whose turn it is.
func (l *lane) peek() *call {
	if l.turn == nil {
		return nil
	}
	for l.turn.deficit < 1 {
		l.turn.deficit += l.turn.weight
		if l.turn.deficit >= 1 {
			break
		}
		l.turn = l.turn.next
	}
	return l.turn.head
}

// take removes the call that peek returned and charges its customer.
func (l *lane) take(p *Pool, c *call) {
	q := c.queue
	q.deficit--
	if q.deficit < 1 {
		l.turn = q.next
	}
	l.remove(p, c)
}

func (p *Pool) newCustomerQueue(customer string) *customerQueue {
	q := p.spareQueues
	if q == nil {
		q = &customerQueue{}
	} else {
		p.spareQueues = q.next
	}
	weight := 1.0
	if s, ok := p.customers[customer]; ok && s.Weight > 0 {
		weight = s.Weight
	}
	*q = customerQueue{customer: customer, weight: max(weight, minWeight)}
	return q
}

// minWeight bounds the rounds that one peek can take.
const minWeight = 0.01

// nextClass returns the class to serve next among those that canServe marks: a class whose minimum share is due, else
// the one with the highest priority.
func (p *Pool) nextClass(canServe uint64) int {
	first := -1
	for i := range p.classes {
		if canServe&(1<<i) == 0 {
			continue
		}
		if first < 0 {
			first = i
			continue
		}
		if p.classes[i].credit >= 1 {
			return i
		}
	}
	return first
}

// charge credits the classes that wait while another class is served.
func (p *Pool) charge(served int) {
	for i := range p.classes {
		k := &p.classes[i]
		switch {
		case i == served:
			k.credit = max(0, k.credit-1)
		case k.queued == 0:
			k.credit = 0
		default:
			k.credit = min(k.credit+k.spec.MinShare, 2)
		}
	}
}
