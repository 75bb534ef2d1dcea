"""Parts of the randomized soak of real gateways on loopback."""
