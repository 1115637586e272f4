// Command wigeonstep manages the capacity and maintenance of a fleet.
package main

func main() {}
