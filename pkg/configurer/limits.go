package configurer

import "github.com/bilberrywalk/bilberrywalk/pkg/publisher"

// checkMemory validates the memory of an instance; zero means the default.
func checkMemory(bytes int64) error {
	const minBytes, maxBytes = 32 << 20, 1 << 40
	if bytes == 0 {
		return nil
	}
	return publisher.CheckRange("memory-bytes", bytes, minBytes, maxBytes)
}

// checkDescriptors validates the number of descriptors; zero means the default.
func checkDescriptors(n int) error {
	const minDescriptors, maxDescriptors = 256, 1 << 20
	if n == 0 {
		return nil
	}
	return publisher.CheckRange("descriptors", int64(n), minDescriptors, maxDescriptors)
}
