package main

// The program is linked against the system's C library, as the users' platform
// requires.

import "C"
