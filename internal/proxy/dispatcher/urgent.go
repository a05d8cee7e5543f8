package dispatcher

// IsUrgent implements acceptor.Classifier.
func (d *Dispatcher) IsUrgent(host, target string) bool {
	table := d.Table()
	return table != nil && table.IsUrgent(host, target)
}
