package main

// Importing "C" links the program against the system's C library, which the users' platform
// requires.

import "C"
