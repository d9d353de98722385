gorsenotch-saved 1 2 1132 e2443f2aed23e66a
<fleet xmlns="urn:gorsenotch:1">
  <engine id="1" kind="prefill" zone="north" cell="1" address="127.92.1.1:36773" mode="healthy" started="0"/>
  <engine id="2" kind="prefill" zone="north" cell="1" address="127.92.1.2:38733" mode="healthy" started="0"/>
  <engine id="3" kind="decode" zone="north" cell="1" address="127.92.1.3:42833" mode="healthy" started="0"/>
  <engine id="4" kind="decode" zone="north" cell="1" address="127.92.1.4:41193" mode="healthy" started="0"/>
  <engine id="5" kind="decode" zone="north" cell="1" address="127.92.1.5:45117" mode="gone" started="0"/>
  <engine id="6" kind="prefill" zone="south" cell="2" address="127.92.2.6:34341" mode="gone" started="0"/>
  <engine id="7" kind="prefill" zone="south" cell="2" address="127.92.2.7:42689" mode="healthy" started="0"/>
  <engine id="8" kind="decode" zone="south" cell="2" address="127.92.2.8:44739" mode="healthy" started="0"/>
  <engine id="9" kind="decode" zone="south" cell="2" address="127.92.2.9:46883" mode="healthy" started="0"/>
  <engine id="10" kind="decode" zone="south" cell="2" address="127.92.2.10:39799" mode="healthy" started="0"/>
</fleet>
