package queuer

import "container/heap"

// Heap is a priority queue that returns the smallest value first.
type Heap[T any] struct {
	slice heapSlice[T]
}

// NewHeap returns an empty heap ordered by less.
func NewHeap[T any](less func(a, b T) bool) *Heap[T] {
	return &Heap[T]{
		slice: heapSlice[T]{
			less: less,
		},
	}
}

// Push adds a value.
func (h *Heap[T]) Push(value T) { heap.Push(&h.slice, value) }

// Len returns the number of values.
func (h *Heap[T]) Len() int { return len(h.slice.values) }

// Peek returns the smallest value, or false if the heap is empty.
func (h *Heap[T]) Peek() (T, bool) {
	if h.Len() == 0 {
		var zero T
		return zero, false
	}
	return h.slice.values[0], true
}

// Pop removes and returns the smallest value. The heap must not be empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.slice).(T) }

// heapSlice is the slice that container/heap works on.
type heapSlice[T any] struct {
	values []T
	less   func(a, b T) bool
}

func (s *heapSlice[T]) Len() int           { return len(s.values) }
func (s *heapSlice[T]) Less(i, j int) bool { return s.less(s.values[i], s.values[j]) }
func (s *heapSlice[T]) Swap(i, j int)      { s.values[i], s.values[j] = s.values[j], s.values[i] }
func (s *heapSlice[T]) Push(value any)     { s.values = append(s.values, value.(T)) }

func (s *heapSlice[T]) Pop() any {
	last := len(s.values) - 1
	value := s.values[last]
	var zero T
	s.values[last] = zero
	s.values = s.values[:last]
	return value
}
