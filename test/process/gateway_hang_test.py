"""Entry hosts whose connections to all servers stand and pass nothing.

Guards against hosts that go on sending into such connections while other entry
hosts serve everything. Plays the mode "hang" of gateway_cut_off_test.py, whose
options it takes.
"""

import pathlib
import runpy
import sys

sys.argv += ["--only", "hang"]
runpy.run_path(str(pathlib.Path(__file__).with_name("gateway_cut_off_test.py")),
               run_name="__main__")
