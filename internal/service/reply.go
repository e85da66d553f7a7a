package service

// SendReply sends the reply to a query without blocking. The reply is dropped if the channel has no free buffer slot, because
// then its reader has given up.
func SendReply[T any](to chan<- T, reply T) {
	select {
	case to <- reply:
	default:
	}
}
