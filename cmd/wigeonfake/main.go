// Command wigeonfake runs stand-ins of the platform, of backend servers and of callers.
package main

func main() {}
