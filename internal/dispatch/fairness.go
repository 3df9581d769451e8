package dispatch

// customerQueue is the FIFO queue of one customer in a fairQueue.
type customerQueue struct {
	customer   string
	weight     float64
	deficit    float64 // calls that may still run in this round
	head, tail *call
	prev, next *customerQueue // ring of the customers with queued calls
}

// fairQueue holds the queued calls of a class for one version constraint. It schedules customers by deficit round
// robin, with a cost of 1 per call. Versions are chosen by a hash of the request ID, so fair sharing within each queue
// is fair sharing overall.
type fairQueue struct {
	version   string
	n         int // queued calls
	customers map[string]*customerQueue
	current   *customerQueue // next customer to be served
}

func (fq *fairQueue) push(p *Pool, c *call) {
	q := fq.customers[c.req.Customer]
	if q == nil {
		q = p.newCustomerQueue(c.req.Customer)
		fq.customers[c.req.Customer] = q
		fq.addCustomer(q)
	}
	c.fairQueue, c.queue = fq, q
	c.older, c.newer = q.tail, nil
	if q.tail != nil {
		q.tail.newer = c
	} else {
		q.head = c
	}
	q.tail = c
	fq.n++
}

// addCustomer adds a customer at the end of the ring.
func (fq *fairQueue) addCustomer(q *customerQueue) {
	if fq.current == nil {
		q.prev, q.next = q, q
		fq.current = q
		return
	}
	q.prev, q.next = fq.current.prev, fq.current
	q.prev.next, q.next.prev = q, q
}

func (fq *fairQueue) remove(p *Pool, c *call) {
	q := c.queue
	c.unlink(&q.head, &q.tail)
	c.fairQueue, c.queue = nil, nil
	fq.n--
	if q.head == nil {
		fq.removeCustomer(p, q)
	}
}

// removeCustomer removes a customer without queued calls. Its deficit is discarded, so that idle customers accumulate
// no credit.
func (fq *fairQueue) removeCustomer(p *Pool, q *customerQueue) {
	delete(fq.customers, q.customer)
	if q.next == q {
		fq.current = nil
	} else {
		q.prev.next, q.next.prev = q.next, q.prev
		if fq.current == q {
			fq.current = q.next
		}
	}
	*q = customerQueue{next: p.spareQueues}
	p.spareQueues = q
}

// peek returns the next call in round-robin order.
func (fq *fairQueue) peek() *call {
	if fq.current == nil {
		return nil
	}
	for fq.current.deficit < 1 {
		fq.current.deficit += fq.current.weight
		if fq.current.deficit >= 1 {
			break
		}
		fq.current = fq.current.next
	}
	return fq.current.head
}

// dequeue removes the call that peek returned and charges its customer for it.
func (fq *fairQueue) dequeue(p *Pool, c *call) {
	q := c.queue
	q.deficit--
	if q.deficit < 1 {
		fq.current = q.next
	}
	fq.remove(p, c)
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

// minWeight bounds the number of passes over the ring that one peek can need.
const minWeight = 0.01

// nextClass returns the class to serve next among those in the bit set canServe: one that has earned a grant by its
// minimum share, else the one with the highest priority.
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

// updateCredits adds the minimum share to the credit of each class that waits while another class is served.
func (p *Pool) updateCredits(served int) {
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
