"""Buffer into which all connections of clients read.

Its size bounds what one connection receives before it can stop reading. The
bytes are copied before another connection reads.
"""

READ_BYTES = 16 * 1024
VIEW = memoryview(bytearray(READ_BYTES))
