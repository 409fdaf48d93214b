package deps

import "wigeonwinch/jobs/customer"

// IndexKeys prepares the configuration for CustomerOf. It is called once, before the
// configuration is in force.
func (c *Configuration) IndexKeys() {
	c.keys = customer.KeyIndex{}
	for _, cu := range c.Customers {
		for _, digest := range cu.Keys {
			c.keys.Add(digest, cu.Name)
		}
	}
}

// CustomerOf returns the customer of the key with the given digest.
func (c *Configuration) CustomerOf(digest []byte) (name string, ok bool) { return c.keys.Find(digest) }

// Keys returns the number of keys of all customers.
func (c *Configuration) Keys() int { return c.keys.Len() }

// NeedsKey reports whether calls for a queue must name their customer by a key.
func (c *Configuration) NeedsKey(queue string) bool {
	if len(c.Customers) == 0 {
		return false
	}
	for _, r := range c.Routes {
		if r.Queue.Name == queue && r.Public {
			return false
		}
	}
	return true
}
