package permit

// expiryHeap is a min-heap of permits by expiry; it implements heap.Interface.
type expiryHeap []*permit

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push is part of heap.Interface.
func (h *expiryHeap) Push(x any) {
	p := x.(*permit)
	p.heapIndex = len(*h)
	*h = append(*h, p)
}

// Pop is part of heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	p := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return p
}
