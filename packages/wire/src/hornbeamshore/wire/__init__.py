"""Protocol between the processes: messages, codec, framing and connections."""
