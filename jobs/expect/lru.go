package expect

import "container/list"

// lru maps names to values and drops the one that was not used for longest when
// it is full.
type lru[V any] struct {
	limit   int
	entries map[string]*list.Element
	order   *list.List
}

type lruEntry[V any] struct {
	name  string
	value V
}

func newLRU[V any](limit int) *lru[V] {
	return &lru[V]{limit: limit, entries: map[string]*list.Element{}, order: list.New()}
}

// get returns the value of a name, or the zero value.
func (l *lru[V]) get(name string) V {
	e := l.entries[name]
	if e == nil {
		var none V
		return none
	}
	return e.Value.(*lruEntry[V]).value
}

// put sets the value of a name and marks it as used last.
func (l *lru[V]) put(name string, value V) {
	if e := l.entries[name]; e != nil {
		e.Value.(*lruEntry[V]).value = value
		l.order.MoveToFront(e)
		return
	}
	if len(l.entries) >= l.limit {
		oldest := l.order.Back()
		delete(l.entries, oldest.Value.(*lruEntry[V]).name)
		l.order.Remove(oldest)
	}
	l.entries[name] = l.order.PushFront(&lruEntry[V]{name, value})
}

// len returns the number of names.
func (l *lru[V]) len() int { return len(l.entries) }
