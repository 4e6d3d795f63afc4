INVITE sip:+914842000123@gw0.example;user=phone SIP/2.0
Via: SIP/2.0/WS 8a7f3c.invalid;branch=z9hG4bK56sdasks;rport
Max-Forwards: 70
From: "Branch desk 12" <sip:desk12@branch.example>;tag=asdyka899
To: <sip:+914842000123@gw0.example;user=phone>
Call-ID: asidkj3ss-9f31c2ab
CSeq: 1 INVITE
Contact: <sip:desk12@8a7f3c.invalid;transport=ws>
Expires: 9
Session-ID: ab30317f1a784dc48ff824d0d3715d86;remote=00000000000000000000000000000000
Supported: path, outbound
Allow: INVITE, ACK, CANCEL, BYE, OPTIONS
User-Agent: desk/4.2
X-Class: transfer-status
Content-Type: application/sdp
Content-Length: 93

v=0
o=- 1 1 IN IP4 192.0.2.10
s=-
c=IN IP4 192.0.2.10
t=0 0
m=audio 4000 RTP/AVP 0
a=sendrecv
