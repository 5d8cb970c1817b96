package queuer

import "container/heap"

// Heap gives back the least of its values first.
type Heap[T any] struct {
	store store[T]
}

// NewHeap returns an empty heap ordered by less.
func NewHeap[T any](less func(a, b T) bool) *Heap[T] {
	return &Heap[T]{
		store: store[T]{
			less: less,
		},
	}
}

// Push adds a value.
func (h *Heap[T]) Push(value T) { heap.Push(&h.store, value) }

// Len returns how many values there are.
func (h *Heap[T]) Len() int { return len(h.store.values) }

// Peek returns the least value, and false where there is none.
func (h *Heap[T]) Peek() (T, bool) {
	if h.Len() == 0 {
		var none T
		return none, false
	}
	return h.store.values[0], true
}

// Pop removes and returns the least value; the heap must not be empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.store).(T) }

// store is the slice that container/heap works on.
type store[T any] struct {
	values []T
	less   func(a, b T) bool
}

func (s *store[T]) Len() int           { return len(s.values) }
func (s *store[T]) Less(i, j int) bool { return s.less(s.values[i], s.values[j]) }
func (s *store[T]) Swap(i, j int)      { s.values[i], s.values[j] = s.values[j], s.values[i] }
func (s *store[T]) Push(value any)     { s.values = append(s.values, value.(T)) }

func (s *store[T]) Pop() any {
	last := len(s.values) - 1
	value := s.values[last]
	var none T
	s.values[last] = none
	s.values = s.values[:last]
	return value
}
