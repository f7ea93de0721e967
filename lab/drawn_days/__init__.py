"""Test days of a whole deployment, drawn by chance and written as TOML files for whatever plays them.

`kinds` is the table of what may happen, `entries` draws one entry of it, `sequences` several that belong together,
`drawing` a day of both. `listing` reads which kinds a site allows, and `writing` turns days into files.
"""
